"""Calls that are sent again beside themselves while they are unanswered.

A connection can be silent for good and the first packet of a new one can be lost, so a
call that waits for one of them says nothing of the path. Copies of it on new
connections do, and the first complete answer counts. Only for calls that may be
executed more than once.
"""

from __future__ import annotations

import math
import random

from twisted.internet import defer

from briarspoke.entry.connections import Answer

# A call whose answer arrives is given up only this long after its timeout. A link of
# 5 Mbit/s that callers use as well carries a page of 1 MB in several seconds.
MAX_ARRIVAL_S = 10.0
# An answer that has begun to arrive is in doubt after a silence of this length, and of
# twice that at most.
MAX_SILENCE_S = 0.4
# Largest factor by which an interval between two copies is drawn longer or shorter, so
# that the VMs do not ask together.
MAX_SPREAD = 1.25


def draw_spread(interval_s):
    """Returns an interval in seconds with its random part."""
    return interval_s * (1 + (MAX_SPREAD - 1) * (2 * random.random() - 1))


class RepeatedCall:
    """A call and its copies.

    :param client: the :class:`briarspoke.entry.httpclient.HttpClient`.
    :param repeat_path: path of the copies.
    :param repeat_s: (seconds without any byte of an answer until the first copy,
        seconds between further ones on average).
    :param timeout_s: seconds until the call fails unless an answer is arriving.
    :param on_doubt: called with a description of the call when the first copy is sent.
    :ivar deferred: fires with the first complete :class:`Answer`, or with the last
        failure when no copy is left.
    """

    __slots__ = (
        "_client",
        "_copies",
        "_due_at",
        "_give_up_at",
        "_interval_s",
        "_is_repeated",
        "_is_sent",
        "_method",
        "_next_copy_at",
        "_on_doubt",
        "_received_bytes",
        "_repeat_path",
        "_silent_at",
        "_timer",
        "deferred",
    )

    def __init__(
        self, *, client, method, path, repeat_path, repeat_s, timeout_s, on_doubt=None
    ):
        self.deferred = defer.Deferred(self._cancelled)
        self._client = client
        self._method = method
        self._repeat_path = repeat_path
        after_s, self._interval_s = repeat_s
        self._on_doubt = on_doubt
        self._copies = []
        self._is_repeated = False
        # Whether a copy that has failed may have been executed.
        self._is_sent = False
        now = client.now()
        # Bytes of answers that had arrived at the last check, and time at which the
        # answer is in doubt if there are no more.
        self._received_bytes = 0
        self._silent_at = now
        self._next_copy_at = now + after_s
        self._due_at = now + timeout_s
        self._give_up_at = self._due_at + MAX_ARRIVAL_S
        self._timer = client.call_later(self._check_delay_s(now), self._check)
        self._send(path, new_connection=False)

    def _send(self, path, *, new_connection):
        began_at = self._client.now()
        copy = self._client.start_call(
            self._method,
            path,
            timeout_s=self._give_up_at - began_at,
            connect_timeout_s=None,
            new_connection=new_connection,
        )
        self._copies.append(copy)
        copy.deferred.addCallbacks(
            self._ended, lambda failure: None, callbackArgs=(copy, began_at)
        )

    def _ended(self, answer, copy, began_at):
        self._copies.remove(copy)
        if self.deferred.called:
            return
        self._is_sent = answer.sent = self._is_sent or answer.sent
        if answer.status is not None:
            answer.age_s = self._client.now() - began_at
            answer.is_repeated = self._is_repeated
            self._finish(answer)
        elif copy.is_kept and self._client.now() < self._due_at:
            # The peer has closed a kept connection, which says nothing of new ones.
            self._repeat()
        elif not self._copies:
            self._finish(answer)

    def _repeat(self):
        self._is_repeated = True
        self._send(self._repeat_path, new_connection=True)

    def _check(self):
        """Sends a copy if no answer is arriving, and gives up when the time is over."""
        now = self._client.now()
        received_bytes = sum(copy.received_bytes for copy in self._copies)
        if received_bytes > self._received_bytes:
            self._next_copy_at = self._silent_at = now + MAX_SILENCE_S
        self._received_bytes = received_bytes
        if now >= self._silent_at:
            if now >= self._due_at:
                self._give_up()
                return
            if now >= self._next_copy_at:
                self._doubt()
                self._next_copy_at = now + draw_spread(self._interval_s)
        self._timer = self._client.call_later(self._check_delay_s(now), self._check)

    def _check_delay_s(self, now):
        """Returns the seconds until the next check."""
        times = (self._silent_at, self._next_copy_at, self._due_at)
        next_at = min((time for time in times if time > now), default=math.inf)
        return min(MAX_SILENCE_S, next_at - now)

    def _doubt(self):
        if self._on_doubt is not None and not self._is_repeated:
            self._on_doubt(self._describe())
        self._client.drop_idle()
        self._repeat()

    def _describe(self):
        return self._copies[-1].describe() if self._copies else ""

    def _give_up(self):
        answer = Answer(
            failure="timeout",
            sent=self._is_sent or any(copy.is_sent for copy in self._copies),
            received_bytes=self._received_bytes,
            detail=self._describe(),
        )
        self._finish(answer)

    def _finish(self, answer):
        if self._timer.active():
            self._timer.cancel()
        self._cancel_copies()
        self.deferred.callback(answer)

    def _cancel_copies(self):
        for copy in list(self._copies):
            copy.deferred.cancel()

    def _cancelled(self, deferred):
        if self._timer.active():
            self._timer.cancel()
        deferred.errback(defer.CancelledError())
        self._cancel_copies()
