"""One entry VM of a zone watches the store for the others.

Every watch costs calls to the store, so the number of watches must not grow with the
number of entry VMs. The entry VM of a zone with the highest bandwidth, the first by
name among equals, is the zone's relay and sends changes to the others over TCP. A VM
that receives nothing from its relay watches the store itself.
"""

from __future__ import annotations

import logging
import zlib

import cbor2
from twisted.internet import protocol
from twisted.protocols import basic

from briarspoke.entry.view import MAX_RELAY_PROOF_INTERVAL_S
from briarspoke.platform.keyvalue import WATCH_DOUBT_S, Changes, Item
from briarspoke.platform.values import DecodeError

log = logging.getLogger(__name__)

# Zones with fewer entry VMs have no relay.
MIN_NODES = 4
# A relay that is in contact with the store sends heartbeats at this interval.
HEARTBEAT_INTERVAL_S = 0.4
# A follower that receives nothing for this long watches the store itself, since
# changes have to be in force within 2 s.
HEARTBEAT_TIMEOUT_S = 1.0
# A follower whose relay last had a proof this long ago watches the store itself. The
# relay asks a lost watch again before that, and has this long for the answer.
CATCH_UP_S = 0.4
MAX_PROOF_AGE_S = MAX_RELAY_PROOF_INTERVAL_S + WATCH_DOUBT_S + CATCH_UP_S
# Interval of a follower's checks of its relay.
CHECK_INTERVAL_S = 0.2
# A follower that lost its relay watches the store for at least this long.
RECONNECT_DELAY_S = 3.0
# The same while this VM does not reach the store, since asking the relay costs no call
# to the store.
OUTAGE_RECONNECT_DELAY_S = 0.8
# The packets of a new connection wait behind those of callers, on a full link of
# 5 Mbit/s for 1 to 2 s. The follower watches the store meanwhile.
CONNECT_TIMEOUT_S = 2.0
# A VM that needs all items asks its relay, and this long after that the store as well.
# Reading them from the store takes seconds on a slow link; the relay sends them
# compressed.
RELAY_HEAD_START_S = 0.4
FIRST_VIEW_POLL_INTERVAL_S = 0.1
MAX_FRAME_BYTES = 16 << 20
# A configuration of 1,300 routes takes 1 s on a link of 5 Mbit/s, and a tenth of that
# compressed. The lowest level compresses it in less than 2 ms of CPU time.
COMPRESSION_LEVEL = 1


class Frame:
    """A message from a relay to a follower.

    :param changes: the :class:`Changes`.
    :param whole: whether the items are the whole view and not only changes of it.
    :param proof_age_s: seconds since the relay knew them to be complete.
    :param complete_age_s: seconds since they were complete for certain; None for
        ``proof_age_s``.
    :param sent_at: time of the relay's clock in seconds, or None if unknown.
    """

    __slots__ = ("changes", "complete_age_s", "proof_age_s", "sent_at", "whole")

    def __init__(
        self, *, changes, whole, proof_age_s=0.0, complete_age_s=None, sent_at=None
    ):
        self.changes = changes
        self.whole = whole
        self.proof_age_s = proof_age_s
        self.complete_age_s = proof_age_s if complete_age_s is None else complete_age_s
        self.sent_at = sent_at


def _encode(frame):
    """Returns a :class:`Frame` in bytes."""
    changes = frame.changes
    rows = [[item.key, item.value, item.revision] for item in changes.items]
    body = [
        rows,
        changes.revision,
        changes.era,
        frame.whole,
        round(frame.proof_age_s * 1e3),
        round(frame.complete_age_s * 1e3),
        None if frame.sent_at is None else round(frame.sent_at * 1e3),
    ]
    return zlib.compress(cbor2.dumps(body), COMPRESSION_LEVEL)


def _decode(data):
    """Decodes a :class:`Frame`; those of earlier versions have no ages.

    :raises DecodeError: if it does not have the expected form.
    """
    try:
        rows, revision, era, whole, *rest = cbor2.loads(zlib.decompress(data))
        era = int(era)
        items = [
            Item(
                key=str(key),
                value=None if value is None else bytes(value),
                revision=int(item_revision),
                era=era,
            )
            for key, value, item_revision in rows
        ]
        ages_s = [max(0, int(age_ms)) / 1e3 for age_ms in rest[:2]]
        sent_at_ms = rest[2] if len(rest) > 2 else None
        return Frame(
            changes=Changes(items=items, revision=int(revision), era=era),
            whole=bool(whole),
            proof_age_s=ages_s[0] if ages_s else 0.0,
            complete_age_s=ages_s[1] if len(ages_s) > 1 else None,
            sent_at=None if sent_at_ms is None else int(sent_at_ms) / 1e3,
        )
    except (
        zlib.error,
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        ArithmeticError,
        RecursionError,
    ) as error:
        raise DecodeError(str(error)) from error


class FollowerLink(basic.Int32StringReceiver):
    """The relay's side of the connection to a follower."""

    def __init__(self, relay):
        self._relay = relay

    def connectionMade(self):
        self._relay.follower_connected(self)

    def connectionLost(self, reason):
        self._relay.links.discard(self)

    def dataReceived(self, data):
        """Drops the data; followers send none."""


class Relay(protocol.ServerFactory):
    """Sends this entry VM's view to followers while it is in contact with the store.

    :param view: the :class:`briarspoke.entry.view.StoreView`.
    :param record_write: called with the number of bytes of each frame.
    """

    noisy = False

    def __init__(self, *, view, record_write=lambda size_bytes: None):
        self.links = set()
        self._view = view
        self._record_write = record_write
        view.listeners.append(self)

    def buildProtocol(self, address):
        return FollowerLink(self)

    def follower_connected(self, link):
        """Sends the whole view, or closes the connection if the view is not current."""
        view = self._view
        if not view.reachable or view.revision is None or view.uses_relay:
            link.transport.loseConnection()
            return
        self.links.add(link)
        data = self._encode_with_age(self._whole_view(), whole=True)
        self._record_write(len(data))
        link.sendString(data)

    def store_changed(self, changes):
        """Sends changes to the followers; empty ones act as a heartbeat."""
        self._send(changes, whole=False)

    def view_replaced(self):
        """Sends the whole view to the followers after all items were read again."""
        self._send(self._whole_view(), whole=True)

    def _whole_view(self):
        view = self._view
        return Changes(items=view.items.values(), revision=view.revision, era=view.era)

    def _encode_with_age(self, changes, *, whole):
        return _encode(
            Frame(
                changes=changes,
                whole=whole,
                proof_age_s=self._view.proof_age_s(),
                complete_age_s=self._view.completeness_age_s(),
                sent_at=self._view.now(),
            )
        )

    def _send(self, changes, *, whole):
        if self.links:
            data = self._encode_with_age(changes, whole=whole)
            for link in self.links:
                self._record_write(len(data))
                link.sendString(data)

    def send_heartbeat(self):
        """Tells the followers when the view was last known to be current.

        Sends nothing while the view has no revision, because all items are being read
        again after the store has dropped its history.
        """
        view = self._view
        if view.revision is not None:
            self.store_changed(Changes(items=[], revision=view.revision, era=view.era))

    def view_abandoned(self):
        """Disconnects the followers, because this VM follows a relay itself."""
        for link in list(self.links):
            link.transport.loseConnection()
        self.links.clear()


class RelayLink(basic.Int32StringReceiver):
    """The follower's side of the connection to its relay."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, follower):
        self._follower = follower

    @property
    def is_receiving(self):
        """Whether a part of a frame has arrived and the rest has not."""
        return bool(self.recvd)

    def dataReceived(self, data):
        # Counts partial frames as activity, since a large frame on a slow link can take
        # longer than the heartbeat timeout.
        self._follower.note_activity(self)
        super().dataReceived(data)

    def stringReceived(self, string):
        self._follower.frame_received(self, string)

    def connectionLost(self, reason):
        self._follower.connection_lost(self)


class RelayFollower(protocol.ClientFactory):
    """Connects to the relay of the zone, if there is one, and applies its changes.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    noisy = False

    def __init__(self, *, node):
        self._node = node
        self._link = None
        self._host = None
        self._connecting = False
        self._last_data_at = 0.0
        self._next_attempt_at = 0.0
        self._attempted_at = 0.0
        # Least difference between this VM's clock and the relay's in the frames of the
        # current connection, or None before the first. A frame with a larger one took
        # that much longer on its way.
        self._least_offset_s = None
        self._next_outage_attempt_at = 0.0
        # Whether the relay's last frame was refused because of its era or revision.
        self._is_relay_behind = False
        node.store.era_observers.append(self._era_rose)

    def _era_rose(self):
        # The relay may learn of the new era later than this VM.
        view = self._node.view
        if self.connected and view.uses_relay and not view.has_store_era:
            self._disconnect()

    @property
    def connected(self):
        """Whether there is a connection to the relay."""
        return self._link is not None

    def check(self):
        """Connects to the relay, or disconnects from one that is not current."""
        now = self._node.now()
        if self.connected:
            view = self._node.view
            if now - self._last_data_at > HEARTBEAT_TIMEOUT_S:
                log.warning("relays: silent host=%s", self._host)
                self._disconnect()
            elif (
                view.uses_relay
                and not self._link.is_receiving
                and view.proof_age_s() > MAX_PROOF_AGE_S
            ):
                log.warning(
                    "relays: not current host=%s age_ms=%d",
                    self._host,
                    round(view.proof_age_s() * 1e3),
                )
                self._disconnect()
            return
        next_attempt_at = (
            self._next_attempt_at
            if self._node.view.reachable
            else min(self._next_attempt_at, self._next_outage_attempt_at)
        )
        if self._connecting or now < next_attempt_at:
            return
        address = self._node.registry.relay_address()
        if address is None:
            return
        self._connecting = True
        self._attempted_at = now
        self._least_offset_s = None
        self._host, port = address
        self._node.reactor.connectTCP(self._host, port, self, timeout=CONNECT_TIMEOUT_S)

    async def wait_for_first_view(self):
        """Connects to the relay and gives it a head start to send its whole view.

        Returns without a view if there is no relay, it does not send in time or its
        view is older than this VM's. A view that arrives later is used as well.

        :raises BriarspokeError: if the store does not answer.
        """
        node = self._node
        if node.view.last_contact is None:
            await node.view.read_prefix(node.registry.prefix)
        give_up_at = node.now() + RELAY_HEAD_START_S
        self._is_relay_behind = False
        while (
            not node.view.uses_relay
            and not self._is_relay_behind
            and node.registry.relay_address() is not None
            and (node.now() < give_up_at or self._is_receiving(node.now()))
        ):
            if not self.connected and not self._connecting:
                self._next_attempt_at = 0.0
                self.check()
            await node.sleep(FIRST_VIEW_POLL_INTERVAL_S)

    def _is_receiving(self, now):
        """Returns whether a part of a frame has arrived lately and the rest has not."""
        return (
            self.connected
            and self._link.is_receiving
            and now - self._last_data_at <= RELAY_HEAD_START_S
        )

    def buildProtocol(self, address):
        self._connecting = False
        self._last_data_at = self._node.now()
        self._link = RelayLink(self)
        return self._link

    def clientConnectionFailed(self, connector, reason):
        self._connecting = False
        self._set_next_attempt()

    def _set_next_attempt(self):
        now = self._node.now()
        self._next_attempt_at = now + RECONNECT_DELAY_S
        self._next_outage_attempt_at = now + OUTAGE_RECONNECT_DELAY_S

    def note_activity(self, link):
        """Restarts the heartbeat timeout after data arrived on the current link."""
        if link is self._link:
            self._last_data_at = self._node.now()

    def frame_received(self, link, data):
        """Applies a frame of the relay; the first one holds the whole view."""
        if link is not self._link:
            # Twisted delivers the remaining frames of a chunk after the disconnect.
            return
        try:
            frame = _decode(data)
        except DecodeError as error:
            log.warning(
                "relays: unreadable frame host=%s error=%r", self._host, str(error)
            )
            self._disconnect()
            return
        view = self._node.view
        changes = frame.changes
        ages_s = (frame.proof_age_s, frame.complete_age_s + self._transit_s(frame))
        if not self._is_current(changes, frame.whole):
            self._is_relay_behind = True
            self._disconnect()
        elif not view.uses_relay:
            log.info(
                "relays: follows host=%s revision=%d", self._host, changes.revision
            )
            view.switch_to_relay(changes, *ages_s)
        elif frame.whole:
            view.replace_from_relay(changes, *ages_s)
        else:
            view.apply_changes(changes, *ages_s)

    def _transit_s(self, frame):
        """Returns how long a frame was on its way, beyond the quickest one.

        The relay sent the first frame after this VM tried to connect.
        """
        if frame.sent_at is None:
            return 0.0
        now = self._node.now()
        offset_s = now - frame.sent_at
        if self._least_offset_s is None:
            self._least_offset_s = offset_s
            return now - self._attempted_at
        self._least_offset_s = min(self._least_offset_s, offset_s)
        return min(now - self._attempted_at, offset_s - self._least_offset_s)

    def _is_current(self, changes, whole):
        """Returns whether a frame is not older than the view and can be applied."""
        view = self._node.view
        if changes.era < self._node.store.era:
            return False
        if view.uses_relay:
            return whole or changes.era == view.era
        return whole and (
            view.revision is None
            or (changes.era, changes.revision) >= (view.era, view.revision)
        )

    def connection_lost(self, link):
        """Watches the store again if the link was the current one."""
        if link is self._link:
            self._disconnect()

    def _disconnect(self):
        link, self._link = self._link, None
        self._set_next_attempt()
        if link.transport is not None:
            link.transport.abortConnection()
        if self._node.view.uses_relay:
            log.info("relays: left host=%s", self._host)
            self._node.view.switch_to_store()
