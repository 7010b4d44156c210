"""Sends and receives the messages of the zone controllers over the links."""

from __future__ import annotations

from briarspoke.links import messages
from briarspoke.ownership import commands, events

MAX_PENDING_SERIALS = 64


class ControlMessaging:
    """Translates between :class:`ControlRunner` and :class:`LinkHub`.

    :param links: the :class:`briarspoke.links.hub.LinkHub`.
    """

    def __init__(self, *, links):
        self._links = links
        self._runner = None
        self._serial = 0
        self._sent_at_by_serial = {}

    def connect(self, runner):
        """Registers a :class:`ControlRunner` for received messages."""
        self._runner = runner
        self._links.on(messages.Resign, self._on_resign)
        self._links.on(messages.AskTerm, self._on_ask_term)
        self._links.on(messages.RoutingLeaseRequest, self._on_lease_request)
        self._links.on(messages.RoutingLease, self._on_lease)
        self._links.on(messages.LoadReport, self._on_load_report)

    def send(self, node_id, command):
        """Sends a command to one entry VM."""
        self._links.send(node_id, self._message(command))

    def broadcast(self, command):
        """Sends a command to all entry VMs."""
        self._links.broadcast(self._message(command))

    def _message(self, command):
        return _encoders[type(command)](self, command)

    def _resign(self, command):
        return messages.Resign(
            zone=command.zone, term=command.term, remaining_s=command.remaining_s
        )

    def _ask_term(self, command):
        return messages.AskTerm(
            zone=command.zone,
            term=command.term,
            incarnation=command.incarnation,
            by_term=command.by_term,
        )

    def _request_lease(self, command):
        request = command.request
        self._serial += 1
        # The sending time is not sent: it is only meaningful on this node's clock.
        self._sent_at_by_serial[self._serial] = request.sent_at
        self._sent_at_by_serial.pop(self._serial - MAX_PENDING_SERIALS, None)
        return messages.RoutingLeaseRequest(
            zone=command.zone,
            serial=self._serial,
            instance=request.incarnation,
            versions=request.version_by_service,
            in_flight=dict.fromkeys(request.in_flight, 1),
            longest_s=request.max_deadline_s,
        )

    def _grant_lease(self, command):
        return messages.RoutingLease(
            zone=command.zone,
            # On the controller's side, ``sent_at`` is the serial of the request.
            serial=int(command.sent_at),
            term=command.term,
            duration_s=command.duration_s,
            versions=command.version_by_service,
        )

    def _on_resign(self, node_id, message):
        self._runner.resign_received(
            zone=message.zone,
            term=message.term,
            remaining_s=message.remaining_s,
            node_id=node_id,
        )

    def _on_ask_term(self, node_id, message):
        self._runner.term_asked(
            node_id=node_id,
            zone=message.zone,
            term=message.term,
            incarnation=message.incarnation,
            by_term=message.by_term,
        )

    def _on_lease_request(self, node_id, message):
        self._runner.routing_lease_requested(
            zone=message.zone,
            request=events.RoutingLeaseRequested(
                node_id=node_id,
                incarnation=message.instance,
                sent_at=message.serial,
                version_by_service=message.versions,
                in_flight=frozenset(message.in_flight),
                max_deadline_s=message.longest_s,
            ),
        )

    def _on_lease(self, node_id, message):
        sent_at = self._sent_at_by_serial.pop(message.serial, None)
        if sent_at is not None:
            self._runner.routing_lease_received(
                zone=message.zone,
                term=message.term,
                sent_at=sent_at,
                duration_s=message.duration_s,
                version_by_service=message.versions,
            )

    def _on_load_report(self, node_id, message):
        if message.interval_s <= 0:
            return
        rates = {
            int(number): count / message.interval_s
            for number, count in message.counts.items()
            if number.isascii() and number.isdigit()
        }
        self._runner.load_reported(message.service, message.server, rates)


_encoders = {
    commands.Resign: ControlMessaging._resign,
    commands.AskTerm: ControlMessaging._ask_term,
    commands.RequestRoutingLease: ControlMessaging._request_lease,
    commands.GrantRoutingLease: ControlMessaging._grant_lease,
}
