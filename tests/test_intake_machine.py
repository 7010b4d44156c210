"""State machine over what one entry VM hears about one process of a server."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from profiles import stateful_settings

from briarspoke.entry.intake import ANSWER, ASKED, OWN, PEER, STORE, Intake

DRAIN_S = 1.5


class IntakeMachine(RuleBasedStateMachine):
    """Plays answers and entries in any order.

    Guards against a server that gets requests although it has said that it leaves or
    wants a pause, and against one that is shut out although it has said neither.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.intake = Intake()
        self.told_at = None
        self.store_says_draining = False
        self.asked_until = 0.0
        self.own_until = 0.0

    @rule(seconds=st.floats(0.01, 5.0))
    def time_passes(self, seconds):
        self.now += seconds

    @rule(source=st.sampled_from([ANSWER, PEER]))
    def server_has_said_that_it_leaves(self, source):
        self.intake.leave(source, self.now + DRAIN_S)
        if self.told_at is None:
            self.told_at = self.now

    @rule()
    def entry_says_draining(self):
        self.intake.leave(STORE, self.now + DRAIN_S)
        self.store_says_draining = True

    @rule()
    def entry_says_ready(self):
        self.intake.withdraw()
        self.store_says_draining = False

    @rule(pause_s=st.floats(0.01, 60.0))
    def server_asks_for_a_pause(self, pause_s):
        self.intake.ask_for_pause(self.now + pause_s)
        self.asked_until = max(self.asked_until, self.now + pause_s)

    @rule(pause_s=st.floats(0.01, 3.0))
    def attempts_fail(self, pause_s):
        self.intake.pause(self.now + pause_s)
        self.own_until = max(self.own_until, self.now + pause_s)

    @rule()
    def earlier_request_is_answered(self):
        self.intake.end_pause()
        self.own_until = 0.0

    @invariant()
    def leaving_is_as_last_heard(self):
        is_leaving = self.told_at is not None or self.store_says_draining
        assert self.intake.is_leaving == is_leaving
        if self.told_at is not None:
            assert self.intake.drain_until <= self.told_at + DRAIN_S

    @invariant()
    def pause_is_the_longest_that_was_asked_for(self):
        assert self.intake.asked_until == self.asked_until
        assert self.intake.paused_until == max(self.asked_until, self.own_until)

    @invariant()
    def source_is_named(self):
        source = self.intake.closed_by(self.now)
        if self.intake.is_leaving:
            assert source in (STORE, ANSWER, PEER)
        elif self.now < self.asked_until:
            assert source == ASKED
        else:
            assert source == (OWN if self.now < self.own_until else None)


TestIntakeMachine = IntakeMachine.TestCase
TestIntakeMachine.settings = stateful_settings()
