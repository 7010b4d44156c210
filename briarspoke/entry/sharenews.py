"""What this entry VM knows of its shares and of servers without free capacity.

The load that this answers: capacity that the controller divides by demand, over links
on which its messages are lost, late or doubled. What is older than 1.5 s is not used.
"""

from __future__ import annotations

import logging
import struct

from briarspoke.hashing import hash64

log = logging.getLogger(__name__)

# News is not used when it is older: three messages.
MAX_AGE_S = 1.5
# Rise per second of the shortest time that a message has taken, so that clocks that
# run apart by up to this do not make all messages look late.
CLOCK_DRIFT = 1e-3
# Entry VMs and servers are named by 16 bits of a hash. VMs whose names collide get the
# equal share; servers whose names collide lack room together.
_SHARE = struct.Struct(">HB")
_SERVER = struct.Struct(">H")
_STEPS = 16


def hash16(name):
    """Returns the number by which messages name an entry VM or a server."""
    return hash64(name) & 0xFFFF


class ServiceNews:
    """News about one service.

    :param shares: ``{hash16 of a node: share relative to the equal share}``.
    :param full_servers: frozenset of hash16 of owners without free capacity, or None if
        the controller does not know.
    """

    __slots__ = ("full_servers", "shares")

    def __init__(self, *, shares, full_servers=None):
        self.shares = shares
        self.full_servers = full_servers

    @classmethod
    def of_names(cls, *, share_by_node, full_server_ids):
        """Returns the news about VMs and servers by their names."""
        shares, colliding = {}, set()
        for node, share in share_by_node.items():
            number = hash16(node)
            if number in shares:
                colliding.add(number)
            shares[number] = share
        for number in colliding:
            del shares[number]
        full_servers = None
        if full_server_ids is not None:
            full_servers = frozenset(hash16(s) for s in full_server_ids)
        return cls(shares=shares, full_servers=full_servers)

    def encode(self):
        """Returns the news as a list for CBOR."""
        shares = b"".join(
            _SHARE.pack(number, min(255, int(share * _STEPS)))
            for number, share in self.shares.items()
        )
        full = None
        if self.full_servers is not None:
            full = b"".join(_SERVER.pack(number) for number in self.full_servers)
        return [shares, full]

    @classmethod
    def decode(cls, encoded):
        """Returns the news of an encoded list.

        :raises ValueError: if it has another form.
        """
        shares, full = encoded
        try:
            return cls(
                shares={n: steps / _STEPS for n, steps in _SHARE.iter_unpack(shares)},
                full_servers=(
                    None
                    if full is None
                    else frozenset(n for (n,) in _SERVER.iter_unpack(full))
                ),
            )
        except struct.error as error:
            raise ValueError(str(error)) from error


class News:
    """A message of the controller.

    :param controller: name of the controller's process.
    :param number: number of the message, rising.
    :param sent_at: time by the controller's clock in seconds.
    :param vms: number of entry VMs among which it divides.
    :param by_service: ``{service: ServiceNews}``.
    """

    __slots__ = ("by_service", "controller", "number", "sent_at", "vms")

    def __init__(self, *, controller, number, sent_at, vms, by_service):
        self.controller = controller
        self.number = number
        self.sent_at = sent_at
        self.vms = vms
        self.by_service = by_service


class ShareNews:
    """The last message that this entry VM has got.

    :param node: name of this entry VM.
    """

    __slots__ = ("_fastest_s", "_is_known", "_last", "_node_number", "_valid_from")

    def __init__(self, *, node):
        self._node_number = hash16(node)
        self._last = None
        # Time by this VM's clock from which the age of the message counts.
        self._valid_from = None
        # Time of this VM's clock less that of the controller, for the fastest message.
        self._fastest_s = None
        self._is_known = False

    def receive(self, news, now, *, controller=None):
        """Takes a message, unless it is late, doubled or of an earlier controller.

        :param controller: name of the process that is known as controller, or None.
        :returns: whether it is used.
        """
        if controller is not None and news.controller != controller:
            return False
        last = self._last
        took_s = now - news.sent_at
        if last is None or last.controller != news.controller:
            if self.is_fresh(now):
                return False
            self._fastest_s = took_s
        elif news.number <= last.number:
            return False
        else:
            elapsed_s = max(0.0, now - self._valid_from)
            self._fastest_s = min(took_s, self._fastest_s + CLOCK_DRIFT * elapsed_s)
        self._last = news
        self._valid_from = now - (took_s - self._fastest_s)
        return True

    def age_s(self, now):
        """Returns the age of the last message in seconds, or None before the first."""
        return None if self._last is None else now - self._valid_from

    def is_fresh(self, now):
        """Returns whether the last message may be used."""
        return self._last is not None and now - self._valid_from <= MAX_AGE_S

    def share(self, service, vms, now):
        """Returns this VM's share relative to the equal share that it calculates.

        :param vms: number of entry VMs as known here. If the controller divides among
            more, the share is less.
        """
        if not self.is_fresh(now):
            return 1.0
        news = self._last.by_service.get(service)
        if news is None:
            return 1.0
        share = news.shares.get(self._node_number, 1.0)
        return share * min(1.0, vms / self._last.vms)

    def has_room(self, service, server_id, now):
        """Returns whether an owner of keys has free capacity, or None without news."""
        if not self.is_fresh(now):
            return None
        news = self._last.by_service.get(service)
        if news is None or news.full_servers is None:
            return None
        return hash16(server_id) not in news.full_servers

    def check(self, now):
        """Writes a log line when news begins and when it has become too old."""
        is_known = self.is_fresh(now)
        if is_known is self._is_known:
            return
        self._is_known = is_known
        if is_known:
            log.info("room: news begins vms=%d", self._last.vms)
        else:
            age_ms = round(1000 * self.age_s(now))
            log.info("room: news ends age_ms=%d", age_ms)
