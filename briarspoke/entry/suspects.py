"""Which requests are suspected of ending the servers that run them."""

from __future__ import annotations

from briarspoke.entry.fingerprints import caller_of

# Each server that ends is evidence against the requests that were running there, of the
# weight 1 divided by their number. A request is held back from this weight and this
# number of servers on, or from the larger number whatever their weight.
HELD_BACK_WEIGHT = 1.5
HELD_BACK_CRASHES = 2
HELD_BACK_CRASHES_ANY_WEIGHT = 3
# A suspicion ends if the request does not come again for this long.
FORGET_S = 60.0
# Times since it is held back after which a request may run once more, on one entry VM.
# A request that ends well is cleared, so a wrong suspicion ends by itself.
TRIALS_AFTER_S = (10.0, 30.0)
MAX_SUSPECTS = 512
# Limit per caller, so that one cannot displace the suspects of all others.
MAX_SUSPECTS_PER_CALLER = 32
MAX_CRASHES_PER_SUSPECT = 8
# Takes the place of a fingerprint in the list of exempt ones and stands for all.
EXEMPT_ALL = "all"


class Suspect:
    """Evidence against one request.

    :param fingerprint: see :class:`briarspoke.entry.fingerprints.Fingerprints`.
    :param now: monotonic seconds.
    """

    __slots__ = (
        "cleared_at",
        "crash_at",
        "fingerprint",
        "held_back_since",
        "seen_at",
        "trials",
        "weight_by_instance",
    )

    def __init__(self, *, fingerprint, now):
        self.fingerprint = fingerprint
        # ``{(server identifier, incarnation): weight}`` of the servers that ended.
        self.weight_by_instance = {}
        self.seen_at = now
        # Time of the latest crash.
        self.crash_at = now
        # Evidence of before this time does not count, since the request has run well.
        self.cleared_at = None
        self.held_back_since = None
        # Number of trials that have begun on any entry VM.
        self.trials = 0

    @property
    def is_held_back(self):
        """Whether the request is not sent to servers, except as a trial."""
        return self.held_back_since is not None

    @property
    def weight(self):
        """Sum of the evidence."""
        return sum(self.weight_by_instance.values())

    def trial_at(self):
        """Returns the time of the next trial, or None after the last."""
        if self.trials >= len(TRIALS_AFTER_S):
            return None
        return self.held_back_since + TRIALS_AFTER_S[self.trials]

    def add_crash(self, instance, weight, now):
        """Adds a server that ended; returns whether it is new."""
        known = self.weight_by_instance.get(instance)
        if known is not None:
            self.weight_by_instance[instance] = max(known, weight)
        elif len(self.weight_by_instance) < MAX_CRASHES_PER_SUSPECT:
            self.weight_by_instance[instance] = weight
        self.seen_at = max(self.seen_at, now)
        self.crash_at = max(self.crash_at, now)
        crashes = len(self.weight_by_instance)
        if not self.is_held_back and (
            crashes >= HELD_BACK_CRASHES_ANY_WEIGHT
            or (crashes >= HELD_BACK_CRASHES and self.weight >= HELD_BACK_WEIGHT)
        ):
            self.held_back_since = now
        return known is None

    def clear(self, now):
        """Drops all evidence, because the request has run well."""
        self.weight_by_instance.clear()
        self.cleared_at = now
        self.held_back_since = None
        self.trials = 0


class Suspects:
    """The suspects that one entry VM knows, in bounded memory."""

    def __init__(self):
        self.by_fingerprint = {}
        # Fingerprints that an operator never wants held back, in hexadecimal.
        self.exempt = frozenset()

    def held_back(self):
        """Returns the suspects that are held back."""
        return [s for s in self.by_fingerprint.values() if s.is_held_back]

    def record_crash(self, fingerprint, instance, weight, now):
        """Adds evidence of a server that ended while it ran a request.

        :param instance: pair of server identifier and incarnation.
        :param weight: see ``HELD_BACK_WEIGHT``.
        :returns: the :class:`Suspect`.
        """
        suspect = self._get_or_add(fingerprint, now)
        suspect.add_crash(instance, weight, now)
        return suspect

    def _get_or_add(self, fingerprint, now):
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None:
            self._make_room(caller_of(fingerprint))
            suspect = Suspect(fingerprint=fingerprint, now=now)
            self.by_fingerprint[fingerprint] = suspect
        return suspect

    def _make_room(self, caller):
        of_caller = [
            s
            for s in self.by_fingerprint.values()
            if caller_of(s.fingerprint) == caller
        ]
        if len(of_caller) >= MAX_SUSPECTS_PER_CALLER:
            self._drop_weakest(of_caller)
        elif len(self.by_fingerprint) >= MAX_SUSPECTS:
            self._drop_weakest(self.by_fingerprint.values())

    def _drop_weakest(self, suspects):
        weakest = min(suspects, key=lambda s: (s.is_held_back, s.weight, s.seen_at))
        del self.by_fingerprint[weakest.fingerprint]

    def merge(self, report, now):
        """Adds what another entry VM knows of a request.

        :param report: the :class:`SuspectReport`.
        :returns: the :class:`Suspect`, or None if the report is out of date.
        """
        known = self.by_fingerprint.get(report.fingerprint)
        if report.cleared:
            if known is not None and known.crash_at <= now - report.age_s:
                known.clear(now - report.age_s)
            return known
        crash_at = now - report.age_s
        if (
            known is not None
            and known.cleared_at is not None
            and crash_at <= known.cleared_at
        ):
            return None
        suspect = self._get_or_add(report.fingerprint, now)
        for instance, weight in report.weight_by_instance.items():
            suspect.add_crash(instance, weight, crash_at)
        suspect.seen_at = max(suspect.seen_at, now - report.seen_age_s)
        suspect.trials = max(suspect.trials, report.trials)
        if suspect.is_held_back and report.held_back_age_s is not None:
            suspect.held_back_since = min(
                suspect.held_back_since, now - report.held_back_age_s
            )
        return suspect

    def report(self, suspect, now):
        """Returns the :class:`SuspectReport` of a suspect for other entry VMs."""
        return SuspectReport(
            fingerprint=suspect.fingerprint,
            weight_by_instance=dict(suspect.weight_by_instance),
            age_s=now
            - (suspect.crash_at if suspect.weight_by_instance else suspect.cleared_at),
            seen_age_s=now - suspect.seen_at,
            held_back_age_s=now - suspect.held_back_since
            if suspect.is_held_back
            else None,
            trials=suspect.trials,
            cleared=not suspect.weight_by_instance,
        )

    def clear(self, fingerprint, now):
        """Clears a request that has run well.

        :returns: the :class:`Suspect` if there was evidence against it, or None.
        """
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None or not suspect.weight_by_instance:
            return None
        suspect.clear(now)
        return suspect

    def is_exempt(self, fingerprint):
        """Returns whether an operator never wants a request held back."""
        return not self.exempt.isdisjoint((fingerprint.hex(), EXEMPT_ALL))

    def find_held_back(self, fingerprint, now):
        """Returns the suspect if a request is held back, and None otherwise."""
        suspect = self.by_fingerprint.get(fingerprint)
        if suspect is None or not suspect.is_held_back:
            return None
        if self.is_exempt(fingerprint):
            return None
        suspect.seen_at = now
        return suspect

    def expire(self, now):
        """Forgets the suspects that have not come again."""
        for suspect in list(self.by_fingerprint.values()):
            if now - suspect.seen_at > FORGET_S:
                del self.by_fingerprint[suspect.fingerprint]


class SuspectReport:
    """What one entry VM tells the others of a suspect; ages in seconds.

    :param weight_by_instance: see :class:`Suspect`.
    :param age_s: time since the latest crash, or since the request was cleared.
    :param seen_age_s: time since the request came last.
    :param held_back_age_s: time since it is held back, or None.
    :param cleared: whether it has run well, so that earlier evidence is void.
    """

    __slots__ = (
        "age_s",
        "cleared",
        "fingerprint",
        "held_back_age_s",
        "seen_age_s",
        "trials",
        "weight_by_instance",
    )

    def __init__(
        self,
        *,
        fingerprint,
        weight_by_instance,
        age_s,
        seen_age_s,
        held_back_age_s,
        trials,
        cleared,
    ):
        self.fingerprint = fingerprint
        self.weight_by_instance = weight_by_instance
        self.age_s = age_s
        self.seen_age_s = seen_age_s
        self.held_back_age_s = held_back_age_s
        self.trials = trials
        self.cleared = cleared
