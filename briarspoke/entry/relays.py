"""One entry VM of a zone watches the store for the others.

Every watch costs calls to the store, so the number of watches must not grow with the
number of entry VMs. The entry VM of a zone with the highest bandwidth, the first by
name among equals, is the zone's relay and sends changes to the others over TCP.

A follower relies on its relay only while it can prove by its own clock that what it has
got is young. It watches the store itself as soon as the proof is too old, whatever the
reason: a relay that is silent, late or out of touch, or frames that wait in a queue.
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
# A follower that receives nothing for this long disconnects from its relay.
HEARTBEAT_TIMEOUT_S = 1.0
# A follower whose proof of being current is older watches the store beside its relay.
# Until then the relay can ask a lost watch again, and has this long for the answer.
CATCH_UP_S = 0.4
MAX_PROOF_AGE_S = MAX_RELAY_PROOF_INTERVAL_S + WATCH_DOUBT_S + CATCH_UP_S
# A follower that watches the store relies on its relay again after a frame that was on
# its way for a shorter time, and whose proof stays young for longer than this.
RELIABLE_MARGIN_S = 0.3
# Interval at which a follower measures the round trip to its relay.
PING_INTERVAL_S = 1.0
MAX_PING_BYTES = 16
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
# A frame that was on its way for longer is logged.
LATE_FRAME_S = 0.4
# Rise per second of the time that a frame may have been on its way, so that clocks that
# run apart by up to this do not hide a delay.
CLOCK_DRIFT = 1e-3
# A configuration of 1,300 routes takes 1 s on a link of 5 Mbit/s, and a tenth of that
# compressed. The lowest level compresses it in less than 2 ms of CPU time.
COMPRESSION_LEVEL = 1


class Frame:
    """A message from a relay to a follower.

    :param changes: the :class:`Changes`.
    :param whole: whether the items are the whole view and not only changes of it.
    :param proof_age_s: seconds from the time of which the relay is certain that they
        were complete until it sent the frame.
    :param sent_at: time of the relay's clock in seconds, or None if unknown.
    :param pinged_at: time of the follower's clock in seconds in the ping that the frame
        answers, or None.
    """

    __slots__ = ("changes", "pinged_at", "proof_age_s", "sent_at", "whole")

    def __init__(
        self, *, changes, whole, proof_age_s=0.0, sent_at=None, pinged_at=None
    ):
        self.changes = changes
        self.whole = whole
        self.proof_age_s = proof_age_s
        self.sent_at = sent_at
        self.pinged_at = pinged_at


def _to_ms(seconds):
    return None if seconds is None else round(seconds * 1e3)


def _to_seconds(ms):
    return None if ms is None else int(ms) / 1e3


def _encode(frame):
    """Returns a :class:`Frame` in bytes."""
    changes = frame.changes
    rows = [[item.key, item.value, item.revision] for item in changes.items]
    body = [
        rows,
        changes.revision,
        changes.era,
        frame.whole,
        _to_ms(frame.proof_age_s),
        # Followers of earlier versions take this one as the age of the content.
        _to_ms(frame.proof_age_s),
        _to_ms(frame.sent_at),
        _to_ms(frame.pinged_at),
    ]
    return zlib.compress(cbor2.dumps(body), COMPRESSION_LEVEL)


def _decode(data):
    """Decodes a :class:`Frame`; those of earlier versions lack the last fields.

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
        sent_at_ms, pinged_at_ms = [*rest[2:4], None, None][:2]
        return Frame(
            changes=Changes(items=items, revision=int(revision), era=era),
            whole=bool(whole),
            # The first age of earlier versions lacks the time on the way to the relay.
            proof_age_s=max(ages_s, default=0.0),
            sent_at=_to_seconds(sent_at_ms),
            pinged_at=_to_seconds(pinged_at_ms),
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
    """The relay's side of the connection to a follower, which sends pings only."""

    MAX_LENGTH = MAX_PING_BYTES

    def __init__(self, relay):
        self._relay = relay
        # Whether what arrives is dropped, since the connection is being closed.
        self._is_closing = False

    def connectionMade(self):
        self._relay.follower_connected(self)

    def connectionLost(self, reason):
        self._relay.links.discard(self)

    def dataReceived(self, data):
        if not self._is_closing:
            super().dataReceived(data)

    def lengthLimitExceeded(self, length):
        log.warning("relays: unreadable ping error=%r", f"it has {length} bytes")
        self._close()

    def _close(self):
        self._is_closing = True
        self._unprocessed = b""
        self._relay.links.discard(self)
        self.transport.abortConnection()

    def stringReceived(self, string):
        if self._is_closing:
            return
        try:
            pinged_at = _to_seconds(cbor2.loads(string))
        except (cbor2.CBORDecodeError, ValueError, TypeError, OverflowError) as error:
            log.warning("relays: unreadable ping error=%r", str(error))
            self._close()
            return
        self._relay.answer_ping(self, pinged_at)


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

    def _encode_with_age(self, changes, *, whole, pinged_at=None):
        return _encode(
            Frame(
                changes=changes,
                whole=whole,
                proof_age_s=self._view.proof_age_s(),
                sent_at=self._view.now(),
                pinged_at=pinged_at,
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
        if self._view.revision is not None:
            self.store_changed(self._no_changes())

    def _no_changes(self):
        view = self._view
        return Changes(items=[], revision=view.revision, era=view.era)

    def answer_ping(self, link, pinged_at):
        """Answers a follower's ping with a heartbeat.

        :param pinged_at: time of the follower's clock in the ping.
        """
        if link not in self.links or self._view.revision is None:
            return
        data = self._encode_with_age(
            self._no_changes(), whole=False, pinged_at=pinged_at
        )
        self._record_write(len(data))
        link.sendString(data)

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

    def connectionMade(self):
        # A ping must not wait for the acknowledgement of the one before.
        self.transport.setTcpNoDelay(True)
        self._follower.ping(self)

    def dataReceived(self, data):
        # Counts partial frames as activity, since a large frame on a slow link can take
        # longer than the heartbeat timeout.
        self._follower.note_activity(self)
        super().dataReceived(data)

    def stringReceived(self, string):
        self._follower.frame_received(self, string)

    def connectionLost(self, reason):
        self._follower.connection_lost(self)


class RelayClock:
    """Estimates, from round trips, how long frames of a relay were on their way.

    Only differences of times of the same clock count, so that neither the difference of
    the clocks nor a delay that all frames have makes a frame look younger than it is.

    :param attempted_at: time by this VM's clock at which it tried to connect, in
        seconds. The relay sent its first frame later.
    """

    __slots__ = ("_attempted_at", "_least_offset_s", "_noted_at")

    def __init__(self, *, attempted_at):
        self._attempted_at = attempted_at
        # Lower bound on the difference of this VM's clock from the relay's, or None
        # before the first frame, and the time since which the clocks may run apart.
        self._least_offset_s = None
        self._noted_at = None

    def transit_s(self, frame, now):
        """Returns the longest time in seconds that a frame can have been on its way.

        :param frame: the :class:`Frame`, in the order of arrival.
        :param now: time by this VM's clock in seconds.
        """
        if frame.sent_at is None:
            return 0.0
        if self._least_offset_s is None:
            self._note(self._attempted_at, frame.sent_at, now)
        elif frame.pinged_at is not None:
            self._note(frame.pinged_at, frame.sent_at, now)
        return max(0.0, now - frame.sent_at - self._least_offset_at(now))

    def _least_offset_at(self, now):
        return self._least_offset_s - CLOCK_DRIFT * (now - self._noted_at)

    def _note(self, asked_at, sent_at, now):
        """Keeps the offset that the ping with the shortest way has shown.

        :param asked_at: time by this VM's clock before the relay sent a frame.
        :param sent_at: time by the relay's clock at which it sent the frame.
        """
        offset_s = asked_at - sent_at
        if self._least_offset_s is None or (
            offset_s - CLOCK_DRIFT * (now - asked_at) > self._least_offset_at(now)
        ):
            self._least_offset_s = offset_s
            self._noted_at = asked_at


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
        # The :class:`RelayClock` of the current connection.
        self._clock = RelayClock(attempted_at=node.now())
        # Whether the current connection has brought the whole view, which the frames
        # behind it change.
        self._has_whole_view = False
        self._next_ping_at = 0.0
        self._next_outage_attempt_at = 0.0
        # Whether the relay's last frame was refused because of its era.
        self._is_relay_behind = False
        node.store.era_observers.append(self._era_rose)

    def _era_rose(self):
        # The relay may learn of the new era later than this VM.
        if self.connected and not self._node.view.has_store_era:
            self._disconnect()

    @property
    def connected(self):
        """Whether there is a connection to the relay."""
        return self._link is not None

    def check(self):
        """Connects to the relay, or watches the store beside one that is late."""
        now = self._node.now()
        if self.connected:
            view = self._node.view
            if now - self._last_data_at > HEARTBEAT_TIMEOUT_S:
                log.warning("relays: silent host=%s", self._host)
                self._disconnect()
                return
            if view.uses_relay and view.proof_age_s() > MAX_PROOF_AGE_S:
                log.warning(
                    "relays: late, watching the store host=%s age_ms=%d receiving=%d",
                    self._host,
                    round(view.proof_age_s() * 1e3),
                    self._link.is_receiving,
                )
                view.switch_to_store()
            if now >= self._next_ping_at:
                self.ping(self._link)
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
        self._clock = RelayClock(attempted_at=now)
        self._has_whole_view = False
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
        if self.connected:
            # Only a new connection brings the whole view.
            self._disconnect()
        give_up_at = node.now() + RELAY_HEAD_START_S
        self._is_relay_behind = False
        while (
            node.view.revision is None
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
        if not self._is_usable(frame):
            self._is_relay_behind = True
            self._disconnect()
            return
        now = self._node.now()
        transit_s = self._clock.transit_s(frame, now)
        proof_age_s = frame.proof_age_s + transit_s
        if transit_s > LATE_FRAME_S:
            log.info(
                "relays: late frame host=%s transit_ms=%d proof_age_ms=%d bytes=%d"
                " loop_lag_ms=%d",
                self._host,
                round(transit_s * 1e3),
                round(proof_age_s * 1e3),
                len(data),
                round(self._node.loop_lag.largest_s * 1e3),
            )
        self._apply(frame, proof_age_s)
        view = self._node.view
        if (
            not view.uses_relay
            and transit_s <= RELIABLE_MARGIN_S
            and proof_age_s <= MAX_PROOF_AGE_S - RELIABLE_MARGIN_S
            and (frame.changes.era, frame.changes.revision) >= view.position
        ):
            log.info(
                "relays: follows host=%s revision=%d proof_age_ms=%d",
                self._host,
                view.revision,
                round(proof_age_s * 1e3),
            )
            view.rely_on_relay()

    def _is_usable(self, frame):
        """Returns whether a frame is of the view's era and follows the whole view."""
        view = self._node.view
        era = frame.changes.era
        if era < self._node.store.era:
            return False
        if frame.whole:
            return True
        return self._has_whole_view and view.revision is not None and era == view.era

    def _apply(self, frame, proof_age_s):
        view = self._node.view
        changes = frame.changes
        if not frame.whole:
            view.apply_changes(changes, proof_age_s)
            return
        is_read_again, self._has_whole_view = self._has_whole_view, True
        if view.position is not None and (changes.era, changes.revision) < (
            view.position
        ):
            # The changes that follow lead from it to a later state than the view's.
            return
        if is_read_again:
            view.replace_from_relay(changes, proof_age_s)
        else:
            view.replace(changes, proof_age_s)

    def ping(self, link):
        """Asks the relay for a heartbeat, whose round trip bounds its age."""
        now = self._node.now()
        self._next_ping_at = now + PING_INTERVAL_S
        link.sendString(cbor2.dumps(_to_ms(now)))

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
