"""Decides which registrations of backend servers are in use.

The store may carry out a write seconds late, also after the server that made it has
ended. Revisions of the store order writes; the start of a server and the sequence
number of its reports order its registrations.
"""

from __future__ import annotations

import itertools

# Time after the removal of a registration for which records of the ended server are not
# used. A write that arrives later than this is taken for a new registration.
ENDED_MEMORY_S = 20.0

# Reasons for which a registration is not used.
OLDER_RECORD = "older-record"
ADDRESS_IN_USE = "address-in-use"
ENDED = "ended"
# Reason of a change that takes a server out of use after its registration was removed.
GONE = "gone"


class Registration:
    """A server's record as it was read from the store.

    :param record: the :class:`briarspoke.entry.servers.ServerRecord`.
    :param revision: revision of the store that wrote it.
    :param arrival: number that grows with each registration that was read.
    """

    __slots__ = ("arrival", "record", "revision")

    def __init__(self, *, record, revision, arrival):
        self.record = record
        self.revision = revision
        self.arrival = arrival

    @property
    def address(self):
        """Pair of host and port."""
        return (self.record.host, self.record.port)

    @property
    def version(self):
        """Pair that grows with each report of a server and with each of its starts."""
        return (self.record.incarnation, self.record.sequence)

    @property
    def precedence(self):
        """Pair by which registrations of different servers at an address compare."""
        return (self.record.incarnation, self.arrival)


class Change:
    """A registration that is in use from now on, or is not.

    :param registration: the :class:`Registration`.
    :param reason: None if it is in use, otherwise why not: ``OLDER_RECORD`` and
        ``ENDED`` leave the use of its server as it is, ``ADDRESS_IN_USE`` and ``GONE``
        end it.
    """

    __slots__ = ("reason", "registration")

    def __init__(self, *, registration, reason):
        self.registration = registration
        self.reason = reason


class Registrations:
    """The registrations of all servers, and which of them are in use.

    Of the records of one server the newest is current. Of the current records at one
    address that of the server that started last is in use, because servers take an
    address only after the one before has ended; the others are set aside until it has
    gone. Methods return the :class:`Change` objects to apply, in order.
    """

    __slots__ = (
        "_arrivals",
        "_current_by_id",
        "_ended_by_id",
        "_late_by_id",
        "_return_until_by_id",
        "_servers_by_address",
        "_used_by_address",
    )

    def __init__(self):
        self._arrivals = itertools.count()
        self._current_by_id = {}
        # Current registrations as {address: {server id: Registration}}.
        self._servers_by_address = {}
        self._used_by_address = {}
        # Latest registrations in the store that are out of date.
        self._late_by_id = {}
        # Times at which current registrations missing in the store are removed.
        self._return_until_by_id = {}
        # (version of the last registration, time until which it is remembered).
        self._ended_by_id = {}

    def put(self, record, revision, now):
        """Handles a record that was written to the store.

        :param revision: revision of the store.
        :param now: monotonic time in seconds.
        """
        registration = Registration(
            record=record, revision=revision, arrival=next(self._arrivals)
        )
        self._late_by_id.pop(record.server_id, None)
        reason = self._refusal(registration, now)
        if reason is None:
            return self._accept(registration)
        self._late_by_id[record.server_id] = registration
        return [Change(registration=registration, reason=reason)]

    def remove(self, server_id, now, return_until):
        """Handles the removal of a record from the store.

        :param now: monotonic time in seconds.
        :param return_until: time until which the server stays in use without a record,
            since it may register again. A time in the past removes it at once.
        """
        self._late_by_id.pop(server_id, None)
        if server_id not in self._current_by_id:
            return []
        if now < return_until:
            self._return_until_by_id[server_id] = return_until
            return []
        return self._end(server_id, now)

    def expire(self, now):
        """Handles the passage of time.

        :param now: monotonic time in seconds.
        """
        changes = []
        for server_id, return_until in list(self._return_until_by_id.items()):
            if now >= return_until:
                changes += self._end(server_id, now)
        for server_id, (_, remembered_until) in list(self._ended_by_id.items()):
            if now >= remembered_until:
                del self._ended_by_id[server_id]
                late = self._late_by_id.pop(server_id, None)
                if late is not None:
                    changes += self._accept(late)
        return changes

    def _refusal(self, registration, now):
        """Returns the reason why a registration is out of date, or None."""
        server_id = registration.record.server_id
        current = self._current_by_id.get(server_id)
        if current is not None and registration.version < current.version:
            return OLDER_RECORD
        if server_id in self._ended_by_id:
            version, remembered_until = self._ended_by_id[server_id]
            if now < remembered_until and registration.version <= version:
                return ENDED
        return None

    def _accept(self, registration):
        server_id = registration.record.server_id
        self._return_until_by_id.pop(server_id, None)
        self._ended_by_id.pop(server_id, None)
        before = self._withdraw(server_id)
        self._current_by_id[server_id] = registration
        servers = self._servers_by_address.setdefault(registration.address, {})
        servers[server_id] = registration
        changes = []
        if before is not None and before.address != registration.address:
            changes += self._choose(before.address)
        changes += self._choose(registration.address)
        if self._used_by_address[registration.address] is not registration:
            changes.append(Change(registration=registration, reason=ADDRESS_IN_USE))
        return changes

    def _end(self, server_id, now):
        self._return_until_by_id.pop(server_id, None)
        registration = self._withdraw(server_id)
        self._ended_by_id[server_id] = (registration.version, now + ENDED_MEMORY_S)
        gone = Change(registration=registration, reason=GONE)
        return [gone, *self._choose(registration.address)]

    def _withdraw(self, server_id):
        """Removes and returns the current registration of a server, if it has one."""
        registration = self._current_by_id.pop(server_id, None)
        if registration is not None:
            servers = self._servers_by_address[registration.address]
            del servers[server_id]
            if not servers:
                del self._servers_by_address[registration.address]
        return registration

    def _choose(self, address):
        """Chooses the registration in use at an address; returns what changes."""
        before = self._used_by_address.pop(address, None)
        servers = self._servers_by_address.get(address)
        if servers is None:
            return []
        used = max(servers.values(), key=lambda each: each.precedence)
        self._used_by_address[address] = used
        if used is before:
            return []
        changes = []
        if before is not None and servers.get(before.record.server_id) is before:
            changes.append(Change(registration=before, reason=ADDRESS_IN_USE))
        return [*changes, Change(registration=used, reason=None)]
