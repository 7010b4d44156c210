"""Finds out which requests end the servers that run them, and holds them back."""

from __future__ import annotations

import logging
import math

from twisted.internet import protocol

from briarspoke.entry import logs
from briarspoke.entry.logs import LogRateLimiter
from briarspoke.entry.suspects import HELD_BACK_CRASHES, Suspects

log = logging.getLogger(__name__)

# Failures of an attempt that look as if the server had ended.
CRASH_FAILURES = frozenset({"closed", "reset"})
# Failures to connect that confirm it.
CONNECT_FAILURES = frozenset({"connect", "refused"})
# A connection is tried this long after such a failure, unless other requests have shown
# by then whether the server still runs.
PROBE_DELAY_S = 0.03
PROBE_TIMEOUT_S = 0.6
# Attempts at one server that fail within this time count as ended by one crash.
CRASH_SPAN_S = 0.2
# A failure without any sign of the server for this long is not a crash that is known.
PENDING_MAX_S = 3.0
CHECK_INTERVAL_S = 0.5
# What is known of a suspect is sent again this long after it was sent, if the request
# has come since then or this VM is the controller, which tells VMs that have started.
RESEND_INTERVAL_S = 2.0


class _PendingCrash:
    """Attempts that have failed at a server that may have ended.

    :param server: the :class:`briarspoke.entry.servers.Server`.
    """

    __slots__ = ("at", "fingerprints", "server", "service")

    def __init__(self, *, server, service, now):
        self.server = server
        self.service = service
        self.at = now
        self.fingerprints = set()


class _Probe(protocol.Protocol):
    """Closes a connection as soon as it is open."""

    def connectionMade(self):
        self.transport.abortConnection()


class _ProbeFactory(protocol.ClientFactory):
    """Reports whether a connection to a server can be opened."""

    noisy = False

    def __init__(self, report):
        self._report = report

    def buildProtocol(self, address):
        self._report(True)
        return _Probe()

    def clientConnectionFailed(self, connector, reason):
        self._report(False)


class Crashes:
    """Watches for servers that end while they run requests.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    def __init__(self, *, node):
        self.suspects = Suspects()
        self._node = node
        self._pending_by_instance = {}
        self._sent_at_by_fingerprint = {}
        self._lines = LogRateLimiter(node.now)

    def settings_changed(self):
        """Takes the requests that are never held back from the settings."""
        self.suspects.exempt = frozenset(self._node.settings.never_held_back)

    def key_changed(self):
        """Forgets all suspects, since their fingerprints are of another key."""
        self.suspects.by_fingerprint.clear()
        self._pending_by_instance.clear()
        self._sent_at_by_fingerprint.clear()

    def _fingerprint(self, request):
        if request.fingerprint is None:
            request.fingerprint = self._node.fingerprints.of(request)
        return request.fingerprint

    def attempt_failed(self, service, server, request, failure):
        """Notes an attempt that ended without an answer.

        :param service: name of the service.
        :param failure: see :class:`briarspoke.entry.connections.Answer`.
        """
        if failure in CONNECT_FAILURES:
            self.server_unreachable(server)
            return
        if failure not in CRASH_FAILURES:
            return
        now = self._node.now()
        fingerprint = self._fingerprint(request)
        instance = server.record.server_instance
        pending = self._pending_by_instance.get(instance)
        if pending is None or now - pending.at > CRASH_SPAN_S:
            pending = _PendingCrash(server=server, service=service, now=now)
            self._pending_by_instance[instance] = pending
            self._node.reactor.callLater(PROBE_DELAY_S, self._probe, pending)
        pending.fingerprints.add(fingerprint)

    def _is_pending(self, pending):
        instance = pending.server.record.server_instance
        return self._pending_by_instance.get(instance) is pending

    def _probe(self, pending):
        if not self._is_pending(pending):
            return
        record = pending.server.record

        def report(connected):
            if not self._is_pending(pending):
                return
            if connected:
                self._drop(pending)
            else:
                self._confirm(pending)

        self._node.reactor.connectTCP(
            record.host, record.port, _ProbeFactory(report), timeout=PROBE_TIMEOUT_S
        )

    def _drop(self, pending):
        del self._pending_by_instance[pending.server.record.server_instance]

    def server_answered(self, server, sent_at):
        """Notes an answer, which shows that the server has not ended.

        :param sent_at: time at which the request was sent.
        """
        pending = self._pending_by_instance.get(server.record.server_instance)
        if pending is not None and sent_at > pending.at:
            self._drop(pending)

    def server_unreachable(self, server):
        """Notes that no connection to a server could be opened."""
        pending = self._pending_by_instance.get(server.record.server_instance)
        if pending is not None:
            self._confirm(pending)

    def server_replaced(self, server):
        """Notes that another process has the address of a server."""
        self.server_unreachable(server)

    def _confirm(self, pending):
        self._drop(pending)
        now = self._node.now()
        instance = pending.server.record.server_instance
        weight = 1 / len(pending.fingerprints)
        self._node.metrics.count("server_crashes_total", pending.service)
        log.info(
            "crashes: server ended id=%s service=%s incarnation=%d running=%d",
            *(
                instance[0],
                logs.field(pending.service),
                instance[1],
                len(pending.fingerprints),
            ),
        )
        for fingerprint in pending.fingerprints:
            suspect = self.suspects.by_fingerprint.get(fingerprint)
            was_held_back = suspect is not None and suspect.is_held_back
            suspect = self.suspects.record_crash(fingerprint, instance, weight, now)
            self._log_if_held_back(suspect, was_held_back, "own")
            self._send(suspect, now)

    def _log_if_held_back(self, suspect, was_held_back, source):
        if suspect.is_held_back and not was_held_back:
            log.warning(
                "crashes: held back fingerprint=%s servers=%s weight_percent=%d "
                "source=%s",
                suspect.fingerprint.hex(),
                ",".join(server_id for server_id, _ in suspect.weight_by_instance),
                round(suspect.weight * 100),
                source,
            )

    def _send(self, suspect, now):
        self._sent_at_by_fingerprint[suspect.fingerprint] = now
        self._node.datagrams.send_suspect(
            self.suspects.report(suspect, now), self._node.registry.addresses()
        )

    def reported(self, report):
        """Learns what another entry VM knows of a request.

        :param report: the :class:`briarspoke.entry.suspects.SuspectReport`.
        """
        known = self.suspects.by_fingerprint.get(report.fingerprint)
        was_held_back = known is not None and known.is_held_back
        suspect = self.suspects.merge(report, self._node.now())
        if suspect is None:
            return
        self._log_if_held_back(suspect, was_held_back, "peer")
        if was_held_back and not suspect.is_held_back:
            self._log_cleared(suspect, "peer")

    def _log_cleared(self, suspect, source):
        log.info(
            "crashes: cleared fingerprint=%s source=%s",
            suspect.fingerprint.hex(),
            source,
        )

    def run_ended(self, request):
        """Clears a request to which a server has answered after it has run it."""
        if not self.suspects.by_fingerprint:
            return
        now = self._node.now()
        fingerprint = self._fingerprint(request)
        known = self.suspects.by_fingerprint.get(fingerprint)
        if known is None:
            return
        was_held_back = known.is_held_back
        crashes = len(known.weight_by_instance)
        suspect = self.suspects.clear(fingerprint, now)
        if suspect is None or crashes < HELD_BACK_CRASHES:
            return
        if was_held_back:
            self._log_cleared(suspect, "own")
        self._send(suspect, now)

    def may_repeat(self, request):
        """Returns whether a request whose server may have ended may be sent again."""
        fingerprint = self._fingerprint(request)
        if self.suspects.is_exempt(fingerprint):
            return True
        suspect = self.suspects.by_fingerprint.get(fingerprint)
        if suspect is not None and suspect.weight_by_instance:
            return False
        failed_at = sum(
            fingerprint in pending.fingerprints
            for pending in self._pending_by_instance.values()
        )
        return failed_at <= 1

    def may_copy(self, request):
        """Returns whether a copy of a running request may be sent to another server.

        No server may have ended, or be about to be known as ended, under the request.
        """
        fingerprint = self._fingerprint(request)
        if self.suspects.is_exempt(fingerprint):
            return True
        suspect = self.suspects.by_fingerprint.get(fingerprint)
        if suspect is not None and suspect.weight_by_instance:
            return False
        return not any(
            fingerprint in pending.fingerprints
            for pending in self._pending_by_instance.values()
        )

    def refusal(self, request, *, sending):
        """Decides whether a request is held back.

        :param sending: whether it is about to be sent; a trial then counts as begun.
        :returns: seconds after which the caller may come back, or None if the request
            may be sent.
        """
        if not self.suspects.by_fingerprint:
            return None
        now = self._node.now()
        suspect = self.suspects.find_held_back(self._fingerprint(request), now)
        if suspect is None:
            return None
        trial_at = suspect.trial_at()
        if trial_at is not None and now >= trial_at and self._runs_trials(suspect):
            if sending:
                suspect.trials += 1
                log.info(
                    "crashes: trial fingerprint=%s id=%s number=%d",
                    suspect.fingerprint.hex(),
                    logs.field(request.request_id.decode("latin-1")),
                    suspect.trials,
                )
                self._send(suspect, now)
            return None
        self._log_refusal(request, suspect)
        return max(
            self._node.RETRY_AFTER_UNAVAILABLE_S,
            (math.inf if trial_at is None else trial_at) - now,
        )

    def _runs_trials(self, suspect):
        # One entry VM runs the trials of a suspect, so that not each of them ends a
        # server. All choose the same one without a message.
        return self._node.registry.is_first_for(suspect.fingerprint)

    def _log_refusal(self, request, suspect):
        if self._lines.allows():
            log.info(
                "requests: held back id=%s fingerprint=%s servers=%d weight_percent=%d "
                "left_out=%d",
                logs.field(request.request_id.decode("latin-1")),
                suspect.fingerprint.hex(),
                len(suspect.weight_by_instance),
                round(suspect.weight * 100),
                self._lines.take_left_out(),
            )

    def check(self):
        """Sends what is known of suspects again, and forgets what is out of date."""
        now = self._node.now()
        for pending in list(self._pending_by_instance.values()):
            if now - pending.at > PENDING_MAX_S:
                self._drop(pending)
        self.suspects.expire(now)
        by_fingerprint = self.suspects.by_fingerprint
        sent_at_by_fingerprint = self._sent_at_by_fingerprint
        for fingerprint in list(sent_at_by_fingerprint):
            if fingerprint not in by_fingerprint:
                del sent_at_by_fingerprint[fingerprint]
        is_controller = self._node.control.is_leader
        for suspect in self.suspects.held_back():
            sent_at = sent_at_by_fingerprint.get(suspect.fingerprint, -math.inf)
            if now - sent_at >= RESEND_INTERVAL_S and (
                is_controller or suspect.seen_at > sent_at
            ):
                self._send(suspect, now)
