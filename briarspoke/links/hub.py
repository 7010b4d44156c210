"""The links of one node: dials and accepts them, and sends messages over them."""

from __future__ import annotations

import logging
import os
import random

from twisted.internet import defer, endpoints, protocol, task

from briarspoke.configuration.snapshot import split_address
from briarspoke.errors import UserError
from briarspoke.links import messages, rejections
from briarspoke.links.dialling import DialScheduler
from briarspoke.links.document_sync import DocumentSync
from briarspoke.links.link import Link
from briarspoke.links.messages import (
    Flood,
    Heartbeat,
    Hello,
    MemberSync,
    MemberUpdate,
    Relay,
)
from briarspoke.links.rejections import LinkError
from briarspoke.links.relaying import Relaying
from briarspoke.links.session import PROTOCOL_VERSION
from briarspoke.membership import members as membership

log = logging.getLogger(__name__)

TICK_S = 0.25
TICKS_PER_HEARTBEAT = 2
# A link that received no frame for this long is closed and dialled again.
RECEIVE_TIMEOUT_S = 3.0
# A dialled link that is no longer a target stays open this long, because the ring
# changes back when a member was down only briefly.
UNUSED_LINK_TIMEOUT_S = 5.0
# A longer gap between two ticks means that this process was paused. That time does
# not count towards RECEIVE_TIMEOUT_S.
MAX_TICK_GAP_S = 0.75
CONNECT_TIMEOUT_S = 1.0
MAX_LINKS = 1024
MAX_UNAUTHENTICATED = 64


class _AcceptFactory(protocol.ServerFactory):
    noisy = False

    def __init__(self, hub):
        self.hub = hub

    def buildProtocol(self, address):
        return self.hub.accept()


class LinkHub:
    """Links of one node to the other entry VMs.

    :param clock: function that returns monotonic seconds.
    :param members: the :class:`briarspoke.membership.members.Members`. If its
        ``me.link_address`` ends in ``:0``, :meth:`start` replaces it with the
        address and port that it listens on.
    :param documents: the :class:`briarspoke.membership.documents.Documents`.
    :param cluster_key: secret shared by all entry VMs, as text.
    :param listen: ``host:port`` to listen on.
    :ivar links_by_node: the link in use to each directly linked node.
    """

    def __init__(
        self,
        *,
        reactor,
        clock,
        metrics,
        members,
        documents,
        cluster_key,
        listen,
        rng=None,
    ):
        self.reactor = reactor
        self.now = clock
        self.metrics = metrics
        self.members = members
        self.documents = documents
        self.cluster_key = cluster_key
        self.links_by_node = {}
        self._listen = listen
        self._port = None
        self._links = set()
        self._dial_scheduler = DialScheduler(rng=rng or random.Random())
        self._handlers = {}
        self._member_observers = []
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = reactor
        self._tick_count = 0
        self._ready_link_count = 0
        self._last_tick_at = None
        self.stopping = False
        self._document_sync = DocumentSync(hub=self, documents=documents)
        self._relaying = Relaying(hub=self)
        self.on(MemberUpdate, self._on_member_update)
        self.on(MemberSync, self._on_member_sync)

    def start(self):
        """Starts to listen, to dial and to send heartbeats.

        :raises UserError: if the address cannot be listened on.
        """
        host, port = split_address(self._listen)
        try:
            self._port = self.reactor.listenTCP(
                port, _AcceptFactory(self), interface=host
            )
        except OSError as error:
            raise UserError(f"cannot listen on {self._listen}: {error}") from error
        me = self.members.me
        if me.link_address.endswith(":0"):
            me.link_address = f"{host}:{self._port.getHost().port}"
        self._ticker.start(TICK_S)
        log.info("link: %s listens on %s", me.node_id, me.link_address)

    @defer.inlineCallbacks
    def stop(self):
        """Closes the port and all links."""
        self.stopping = True
        if self._ticker.running:
            self._ticker.stop()
        self._document_sync.stop()
        if self._port is not None:
            yield self._port.stopListening()
        for link in list(self._links):
            link.close(rejections.STOPPED)
        self._dial_scheduler.cancel()

    def leave(self):
        """Announces to all members that this node takes no new work."""
        self._handle(membership.Leave())

    def on(self, message_class, handler):
        """Registers ``handler(node_id, message)`` for the messages of a class.

        ``node_id`` is the node that created the message, not the one that forwarded it.
        """
        self._handlers.setdefault(message_class, []).append(handler)

    def observe_members(self, observer):
        """Calls ``observer(member, before)`` after each change of a member's state.

        ``before`` is the previous status, None for a new member. It equals the current
        status if only the incarnation or the addresses changed.
        """
        self._member_observers.append(observer)

    def send(self, node_id, message):
        """Sends a message to one member, over other members if there is no direct link.

        :returns: whether it was sent over a link; delivery is not confirmed.
        """
        if node_id == self.members.me.node_id:
            self.reactor.callLater(0, self.dispatch, node_id, message)
            return True
        link = self.links_by_node.get(node_id)
        if link is not None:
            link.send(message)
            return True
        return self._relaying.send(node_id, message)

    def broadcast(self, message):
        """Sends a message to all members except this node."""
        self._relaying.flood(message)

    def vms_listed(self, vms):
        """Updates the members from the VM list of the platform.

        :param vms: the entry VMs that the platform lists.
        """
        self._handle(membership.VmsListed(vms=vms))

    def when_synced(self, timeout_s):
        """Waits until a peer has sent its digest and no peer holds a newer document.

        :returns: a Deferred of True, or of False after the timeout or :meth:`stop`.
        """
        return self._document_sync.when_synced(timeout_s)

    def accept(self):
        """Returns the protocol of an incoming connection, or None to reject it."""
        unauthenticated = sum(not link.session.is_ready for link in self._links)
        if (
            self.stopping
            or len(self._links) >= MAX_LINKS
            or unauthenticated >= MAX_UNAUTHENTICATED
        ):
            self.count_link(rejections.TOO_MANY_LINKS)
            return None
        return self.new_link(None)

    def new_link(self, dialled_address):
        """Creates the protocol of a connection.

        :param dialled_address: address that is dialled, None for an accepted link.
        """
        link = Link(hub=self, reactor=self.reactor, dialled_address=dialled_address)
        self._links.add(link)
        return link

    def _dial(self, address):
        host, port = split_address(address)
        factory = protocol.Factory.forProtocol(lambda: self.new_link(address))
        factory.noisy = False
        endpoint = endpoints.TCP4ClientEndpoint(
            self.reactor, host, port, timeout=CONNECT_TIMEOUT_S
        )
        if ":" in host:
            endpoint = endpoints.TCP6ClientEndpoint(
                self.reactor, host, port, timeout=CONNECT_TIMEOUT_S
            )
        connect_deferred = endpoint.connect(factory)
        self._dial_scheduler.record_attempt(address, connect_deferred)
        connect_deferred.addErrback(
            lambda _: self._dial_scheduler.record_failure(address, self.now()) and None
        )

    # Called by Link.

    def hello(self):
        """Returns this node's hello with a fresh nonce."""
        me = self.members.me
        return Hello(
            version=PROTOCOL_VERSION,
            node_id=me.node_id,
            zone=me.zone,
            link_address=me.link_address,
            forward_address=me.forward_address,
            incarnation=me.incarnation,
            instance=me.instance,
            nonce=os.urandom(messages.NONCE_BYTES),
        )

    def check_peer(self, link):
        """Checks that the peer of a link is not this node.

        :raises LinkError: if the peer is this process or uses the same node id.
        """
        peer, me = link.session.peer, self.members.me
        if peer.node_id != me.node_id:
            return
        if peer.instance == me.instance:
            if link.dialled_address:
                self._dial_scheduler.record_own_address(link.dialled_address)
            raise LinkError(rejections.TO_SELF)
        log.error("link: another process uses the node id %s", me.node_id)
        raise LinkError(rejections.DUPLICATE_NODE, me.node_id)

    def link_ready(self, link):
        """Uses an authenticated link, unless an existing link to the node is kept."""
        peer = link.session.peer
        now = self.now()
        link.last_received_at = now
        if link.dialled_address:
            self._dial_scheduler.record_success(link.dialled_address)
        existing_link = self.links_by_node.get(peer.node_id)
        if existing_link is not None and not self._resolve_duplicate(
            link, existing_link, now
        ):
            return
        self.links_by_node[peer.node_id] = link
        if existing_link is not None:
            existing_link.close(rejections.DUPLICATE_LINK)
        log.info("link: connected to %s at %s", peer.node_id, peer.link_address)
        self._handle(membership.LinkUp(update=_update_of_hello(peer)))
        self._send_members(link)
        self._ready_link_count += 1
        link.heartbeat_phase = self._ready_link_count
        self._document_sync.send_heartbeat(link)

    def _resolve_duplicate(self, link, existing_link, now):
        """Returns whether a new link replaces an existing one; closes it if not."""
        peer, existing_peer = link.session.peer, existing_link.session.peer
        if peer.instance != existing_peer.instance:
            if now - existing_link.last_received_at < membership.SUSPECT_AFTER_S:
                log.error("link: two processes use the node id %s", peer.node_id)
                link.close(rejections.DUPLICATE_NODE, peer.node_id)
                return False
            return True
        if link.is_dialler == existing_link.is_dialler:
            # The same side dialled again, so its previous link has failed.
            return True
        # Both sides keep the link that was dialled by the smaller node id.
        smaller_dialled = link.is_dialler == (self.members.me.node_id < peer.node_id)
        if not smaller_dialled:
            link.close(rejections.DUPLICATE_LINK)
        return smaller_dialled

    def link_received(self, link, message):
        """Dispatches a message from an authenticated peer.

        :param message: the message, or None if its type is unknown.
        """
        if self.links_by_node.get(link.node_id) is not link:
            return
        now = self.now()
        link.last_received_at = now
        self.members.frame_received(link.node_id, now)
        if message is None:
            self.count_link(rejections.UNKNOWN_TYPE)
        elif isinstance(message, Heartbeat):
            self._document_sync.on_heartbeat(link, message)
        elif isinstance(message, Flood):
            self._relaying.on_flood(link, message)
        elif isinstance(message, Relay):
            self._relaying.on_relay(link, message)
        else:
            self.dispatch(link.node_id, message)

    def link_closed(self, link):
        """Removes a closed link."""
        self._links.discard(link)
        if link.dialled_address and not link.session.is_ready:
            self._dial_scheduler.record_failure(link.dialled_address, self.now())
        node_id = link.node_id
        if node_id is None or self.links_by_node.get(node_id) is not link:
            return
        del self.links_by_node[node_id]
        self._document_sync.forget_peer(node_id)
        log.info("link: disconnected from %s", node_id)
        self._handle(membership.LinkDown(node_id=node_id))

    def count_link(self, code):
        """Counts the result code of a closed link or a dropped message."""
        self.metrics.count("link_results_total", code.number)

    def count_bytes(self, direction, count):
        """Counts bytes that links ``"sent"`` or ``"received"``."""
        self.metrics.count("link_bytes_total", direction, count)

    def count_frame(self, direction):
        """Counts a frame that a link ``"sent"`` or ``"received"``."""
        self.metrics.count("link_frames_total", direction)

    def _tick(self):
        # An exception would stop the LoopingCall, and with it heartbeats and failure
        # detection.
        try:
            self._tick_once()
        except Exception:
            log.exception("link: the periodic update failed")

    def _tick_once(self):
        now = self.now()
        previous_tick_at, self._last_tick_at = self._last_tick_at, now
        if previous_tick_at is not None and now - previous_tick_at > MAX_TICK_GAP_S:
            for link in self._links:
                link.last_received_at = now
        self._tick_count += 1
        self._handle(membership.Tick())
        targets = self.members.link_targets()
        for link in list(self.links_by_node.values()):
            self._check_link(link, targets, now)
            # Each tick sends heartbeats on half of the links, which spreads the load.
            if (self._tick_count + link.heartbeat_phase) % TICKS_PER_HEARTBEAT == 0:
                self._document_sync.send_heartbeat(link)
        self._dial_targets(targets, now)
        self._document_sync.request_missing()

    def _check_link(self, link, targets, now):
        if now - link.last_received_at >= RECEIVE_TIMEOUT_S:
            link.close(rejections.SILENT)
        if link.node_id in targets or not link.is_dialler:
            link.unused_since = None
        elif link.unused_since is None:
            link.unused_since = now
        elif now - link.unused_since >= UNUSED_LINK_TIMEOUT_S:
            link.close(rejections.UNUSED)

    def _dial_targets(self, targets, now):
        me = self.members.me.node_id
        peer_dials_first_by_address = {}
        for node_id in targets - self.links_by_node.keys():
            member = self.members.by_id[node_id]
            if not member.terminated:
                # The node with the smaller id dials first.
                peer_dials_first_by_address[member.link_address] = node_id < me
        seeds = self.members.seed_addresses()
        for address in self._dial_scheduler.choose_addresses(
            peer_dials_first_by_address, seeds, now
        ):
            self._dial(address)

    def _handle(self, event):
        for command in self.members.handle(event, self.now()):
            self._execute(command)

    def _execute(self, command):
        if isinstance(command, membership.Announce):
            update = _update_of_member(command.member)
            self.send_all(messages.encode(update), command.except_peer)
        elif isinstance(command, membership.MemberChanged):
            self._member_changed(command.member, command.before)
        elif isinstance(command, membership.CloseLink):
            link = self.links_by_node.get(command.node_id)
            if link is not None:
                link.close(rejections.SILENT)
        elif isinstance(command, membership.DuplicateNode):
            log.error("member: another process uses the node id %s", command.node_id)
            self.count_link(rejections.DUPLICATE_NODE)
        elif isinstance(command, membership.MemberRemoved):
            log.info("member: removed %s", command.member.node_id)

    def _member_changed(self, member, before):
        log.info(
            "member: %s is %s in incarnation %d",
            member.node_id,
            member.status.name.lower(),
            member.incarnation,
        )
        self.metrics.count("member_changes_total", member.status.name.lower())
        for observer in self._member_observers:
            try:
                observer(member, before)
            except Exception:
                log.exception("member: an observer of %s failed", member.node_id)

    def _send_members(self, link):
        updates = [_update_of_member(m) for m in self.members.by_id.values()]
        batch_size = messages.MAX_MEMBERS_PER_MESSAGE
        for start in range(0, len(updates), batch_size):
            link.send(MemberSync(updates=updates[start : start + batch_size]))

    def _on_member_update(self, node_id, message):
        self._handle(_event_of_update(message, node_id))

    def _on_member_sync(self, node_id, message):
        for update in message.updates:
            self._handle(_event_of_update(update, node_id))

    def send_all(self, payload, except_peer=None):
        """Sends an encoded message over every link in use.

        :param except_peer: node id to skip, or None.
        """
        for node_id, link in list(self.links_by_node.items()):
            if node_id != except_peer:
                link.send_payload(payload)

    def dispatch(self, node_id, message):
        """Calls the handlers of a message's class.

        :param node_id: the node that created the message.
        :raises LinkError: if a handler rejects the message.
        """
        for handler in self._handlers.get(type(message), ()):
            try:
                handler(node_id, message)
            except LinkError:
                raise
            except Exception:
                self.count_link(rejections.HANDLER_FAILED)
                log.exception("link: a handler of %s failed", type(message).__name__)


def _update_of_member(member):
    return MemberUpdate(
        node_id=member.node_id,
        link_address=member.link_address,
        forward_address=member.forward_address,
        zone=member.zone,
        incarnation=member.incarnation,
        instance=member.instance,
        status=int(member.status),
    )


def _event_of_update(update, source):
    return membership.Update(
        node_id=update.node_id,
        zone=update.zone,
        link_address=update.link_address,
        forward_address=update.forward_address,
        incarnation=update.incarnation,
        instance=update.instance,
        status=update.status,
        source=source,
    )


def _update_of_hello(hello):
    return membership.Update(
        node_id=hello.node_id,
        zone=hello.zone,
        link_address=hello.link_address,
        forward_address=hello.forward_address,
        incarnation=hello.incarnation,
        instance=hello.instance,
        status=membership.Status.ALIVE,
        source=hello.node_id,
    )
