"""Whether one process of a server takes new requests, and until when it does not."""

from __future__ import annotations

# Sources of what is known: the server's entry in the store, its answer, another entry
# VM that got such an answer, a pause that the server asked for, this VM's own decision.
STORE = "store"
ANSWER = "answer"
PEER = "peer"
ASKED = "asked"
OWN = "own"


class Intake:
    """Why and until when a server gets no new requests from this entry VM.

    A server that leaves gets none; an owner of keys gets those for its keys until the
    time to drain ends. A pause ends by itself. All times are monotonic seconds.

    :ivar drain_until: time by which the last request must have arrived at a leaving
        server, or None.
    :ivar leaving_source: how this VM knows that the server leaves, or None.
    :ivar asked_until: end of the pause that the server has asked for.
    :ivar own_until: end of the pause that this VM makes, such as after failures.
    """

    __slots__ = (
        "asked_until",
        "drain_until",
        "has_unusable_pause",
        "leaving_source",
        "own_until",
        "told_at",
    )

    def __init__(self):
        self.drain_until = None
        self.leaving_source = None
        self.asked_until = 0.0
        self.own_until = 0.0
        # Time at which other entry VMs were last told that the server leaves.
        self.told_at = None
        # Whether the log has a line about the unusable pauses that arrive at present.
        self.has_unusable_pause = False

    @property
    def is_leaving(self):
        """Whether the server leaves."""
        return self.leaving_source is not None

    @property
    def paused_until(self):
        """Time until which the server gets no requests because of a pause."""
        return max(self.asked_until, self.own_until)

    def closed_by(self, now):
        """Returns the source that keeps new requests away at a time, or None."""
        if self.is_leaving:
            return self.leaving_source
        if now < self.asked_until:
            return ASKED
        return OWN if now < self.own_until else None

    def leave(self, source, until):
        """Notes that the server leaves.

        :param until: time by which the last request must have arrived.
        :returns: whether this was not known.
        """
        is_new = self.leaving_source is None
        if self.leaving_source in (None, STORE) or source == ANSWER:
            self.leaving_source = source
        self.drain_until = until if is_new else min(self.drain_until, until)
        return is_new

    def withdraw(self):
        """Notes that the server's entry in the store says that it is ready.

        What the server itself has said holds for the rest of its process, since
        entries arrive late.
        """
        if self.leaving_source == STORE:
            self.leaving_source = self.drain_until = None

    def ask_for_pause(self, until):
        """Notes a pause that the server has asked for.

        Answers arrive out of order, so no answer shortens a pause.

        :returns: whether the pause has become longer.
        """
        if until <= self.asked_until:
            return False
        self.asked_until = until
        return True

    def pause(self, until):
        """Begins or extends a pause that this VM makes."""
        self.own_until = max(self.own_until, until)

    def end_pause(self):
        """Ends the pause that this VM makes, since the server has answered."""
        self.own_until = 0.0
