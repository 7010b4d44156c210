"""All links of one node: dials, accepts, sends and spreads."""

from __future__ import annotations

import logging
import os
import random

from twisted.internet import defer, endpoints, protocol, task

from briarspoke.configuration.snapshot import split_address
from briarspoke.errors import UserError
from briarspoke.links import messages, rejections
from briarspoke.links.dialling import Dialling
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
from briarspoke.links.spreading import DocumentSpread
from briarspoke.membership import members as membership

log = logging.getLogger(__name__)

TICK_S = 0.25
HEARTBEAT_EVERY_TICKS = 2
# A link without frames for this long is closed and dialled again.
SILENT_LINK_S = 3.0
# A link that is no longer a target is kept this long, because the ring changes
# back when a member was down only for a moment.
UNUSED_LINK_S = 5.0
PAUSE_S = 0.75
CONNECT_TIMEOUT_S = 1.0
MAX_ACCEPTED = 1024
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
    :param members: the :class:`briarspoke.membership.members.Members`; its
        ``me.link_address`` is set to the port listened on when it ends in ``:0``.
    :param documents: the :class:`briarspoke.membership.documents.Documents`.
    :param listen: address to listen on.
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
        self._dialling = Dialling(rng=rng or random.Random())
        self._handlers = {}
        self._member_observers = []
        self._ticker = task.LoopingCall(self._tick)
        self._ticker.clock = reactor
        self._ticks = 0
        self._ready_links = 0
        self._ticked_at = None
        self.stopping = False
        self._spread = DocumentSpread(hub=self, documents=documents)
        self._relaying = Relaying(hub=self)
        self.on(MemberUpdate, self._on_member_update)
        self.on(MemberSync, self._on_member_sync)

    # Public interface.

    def start(self):
        """Listens and begins to dial.

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
        self._spread.stop()
        if self._port is not None:
            yield self._port.stopListening()
        for link in list(self._links):
            link.close(rejections.STOPPED)
        self._dialling.cancel()

    def leave(self):
        """Tells all members that this node takes no new work."""
        self._handle(membership.Leave())

    def on(self, message_class, handler):
        """Calls ``handler(node_id, message)`` for each message of a class.

        The node id is that of the node which sent the message first.
        """
        self._handlers.setdefault(message_class, []).append(handler)

    def observe_members(self, observer):
        """Calls ``observer(member, before)`` for each change of status.

        ``before`` is the former status, None for a new member.
        """
        self._member_observers.append(observer)

    def send(self, node_id, message):
        """Sends a message to one member, over other members if necessary.

        :returns: whether a link leads towards it; delivery is not confirmed.
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
        """Sends a message to all members but this node."""
        self._relaying.flood(message)

    def vms_listed(self, vms):
        """Takes the platform's VM list as a hint."""
        self._handle(membership.VmsListed(vms=vms))

    def when_synced(self, timeout_s):
        """Waits until a peer's digest is known and every document in it is held.

        :returns: a Deferred of True, or of False after the timeout.
        """
        return self._spread.when_synced(timeout_s)

    # Accepting and dialling.

    def accept(self):
        """Returns the protocol of a new connection, or None to refuse it."""
        unauthenticated = sum(not link.session.is_ready for link in self._links)
        if (
            self.stopping
            or len(self._links) >= MAX_ACCEPTED
            or unauthenticated >= MAX_UNAUTHENTICATED
        ):
            self.count_link(rejections.TOO_MANY_LINKS)
            return None
        return self.new_link(None)

    def new_link(self, dialled):
        """Returns the protocol of a connection; ``dialled`` is None if accepted."""
        link = Link(owner=self, reactor=self.reactor, dialled=dialled)
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
        connecting = endpoint.connect(factory)
        self._dialling.started(address, connecting)
        connecting.addErrback(
            lambda _: self._dialling.failed(address, self.now()) and None
        )

    # Called by links.

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
        """Checks the identity that a peer claims.

        :raises LinkError: if it is this node or uses its node id.
        """
        peer, me = link.session.peer, self.members.me
        if peer.node_id != me.node_id:
            return
        if peer.instance == me.instance:
            if link.dialled:
                self._dialling.is_self(link.dialled)
            raise LinkError(rejections.TO_SELF)
        log.error("link: another process uses the node id %s", me.node_id)
        raise LinkError(rejections.DUPLICATE_NODE, me.node_id)

    def link_ready(self, link):
        """Takes an authenticated link into use, unless another is kept."""
        peer = link.session.peer
        now = self.now()
        link.heard_at = now
        if link.dialled:
            self._dialling.succeeded(link.dialled)
        other = self.links_by_node.get(peer.node_id)
        if other is not None and not self._replaces(link, other, now):
            return
        self.links_by_node[peer.node_id] = link
        if other is not None:
            other.close(rejections.DUPLICATE_LINK)
        log.info("link: up to %s at %s", peer.node_id, peer.link_address)
        self._handle(membership.LinkUp(update=_update_of_hello(peer)))
        self._send_members(link)
        self._ready_links += 1
        link.phase = self._ready_links
        self._spread.heartbeat(link)

    def _replaces(self, link, other, now):
        """Decides between two links to one node; closes the new one if it loses."""
        peer, held = link.session.peer, other.session.peer
        if peer.instance != held.instance:
            if now - other.heard_at < membership.SUSPECT_AFTER_S:
                log.error("link: two processes use the node id %s", peer.node_id)
                link.close(rejections.DUPLICATE_NODE, peer.node_id)
                return False
            return True
        if link.is_dialler == other.is_dialler:
            # The same side dialled twice: it knows that the former one failed.
            return True
        # Both sides keep the link that the smaller node id dialled.
        smaller_dialled = link.is_dialler == (self.members.me.node_id < peer.node_id)
        if not smaller_dialled:
            link.close(rejections.DUPLICATE_LINK)
        return smaller_dialled

    def link_received(self, link, message):
        """Takes a message of an authenticated peer."""
        if self.links_by_node.get(link.node_id) is not link:
            return
        now = self.now()
        link.heard_at = now
        self.members.frame_received(link.node_id, now)
        if message is None:
            self.count_link(rejections.UNKNOWN_TYPE)
        elif isinstance(message, Heartbeat):
            self._spread.on_heartbeat(link, message)
        elif isinstance(message, Flood):
            self._relaying.on_flood(link, message)
        elif isinstance(message, Relay):
            self._relaying.on_relay(link, message)
        else:
            self.dispatch(link.node_id, message)

    def link_closed(self, link):
        """Forgets a closed link."""
        self._links.discard(link)
        if link.dialled and not link.session.is_ready:
            self._dialling.failed(link.dialled, self.now())
        node_id = link.node_id
        if node_id is None or self.links_by_node.get(node_id) is not link:
            return
        del self.links_by_node[node_id]
        self._spread.node_gone(node_id)
        log.info("link: down to %s", node_id)
        self._handle(membership.LinkDown(node_id=node_id))

    def count_link(self, code):
        """Counts a link or message that was rejected."""
        self.metrics.count("link_results_total", code.number)

    def count_bytes(self, direction, count):
        """Counts bytes on links."""
        self.metrics.count("link_bytes_total", direction, count)

    def count_frame(self, direction):
        """Counts a frame on a link."""
        self.metrics.count("link_frames_total", direction)

    # Ticks.

    def _tick(self):
        # An error must not end the ticks, and with them heartbeats and detection.
        try:
            self._tick_once()
        except Exception:
            log.exception("link: a tick failed")

    def _tick_once(self):
        now = self.now()
        last, self._ticked_at = self._ticked_at, now
        if last is not None and now - last > PAUSE_S:
            for link in self._links:
                link.heard_at = now
        self._ticks += 1
        self._handle(membership.Tick())
        wanted = self.members.link_targets()
        for link in list(self.links_by_node.values()):
            self._check_link(link, wanted, now)
            # Half of the links in each tick, so that the load is even.
            if (self._ticks + link.phase) % HEARTBEAT_EVERY_TICKS == 0:
                self._spread.heartbeat(link)
        self._dial_wanted(wanted, now)
        self._spread.request_missing()

    def _check_link(self, link, wanted, now):
        if now - link.heard_at >= SILENT_LINK_S:
            link.close(rejections.SILENT)
        if link.node_id in wanted or not link.is_dialler:
            link.unwanted_since = None
        elif link.unwanted_since is None:
            link.unwanted_since = now
        elif now - link.unwanted_since >= UNUSED_LINK_S:
            link.close(rejections.UNUSED)

    def _dial_wanted(self, wanted, now):
        me = self.members.me.node_id
        addresses = {}
        for node_id in wanted - self.links_by_node.keys():
            member = self.members.by_id[node_id]
            if not member.terminated:
                # The greater node id leaves the first attempt to the smaller one.
                addresses[member.link_address] = node_id < me
        seeds = self.members.seed_addresses()
        for address in self._dialling.choose(addresses, seeds, now):
            self._dial(address)

    # Members.

    def _handle(self, event):
        for command in self.members.handle(event, self.now()):
            self._run(command)

    def _run(self, command):
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
            log.error("member: another process uses the id %s", command.node_id)
            self.count_link(rejections.DUPLICATE_NODE)
        elif isinstance(command, membership.MemberRemoved):
            log.info("member: %s is forgotten", command.member.node_id)

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
                log.exception("member: an observer failed on %s", member.node_id)

    def _send_members(self, link):
        updates = [_update_of_member(m) for m in self.members.by_id.values()]
        size = messages.MAX_MEMBERS_PER_MESSAGE
        for start in range(0, len(updates), size):
            link.send(MemberSync(updates=updates[start : start + size]))

    def _on_member_update(self, node_id, message):
        self._handle(_event_of_update(message, node_id))

    def _on_member_sync(self, node_id, message):
        for update in message.updates:
            self._handle(_event_of_update(update, node_id))

    def send_all(self, payload, except_peer=None):
        """Sends an encoded message over every link but one."""
        for node_id, link in list(self.links_by_node.items()):
            if node_id != except_peer:
                link.send_payload(payload)

    def dispatch(self, node_id, message):
        """Passes a message of a node to the handlers of its class."""
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
