"""Permits to send requests to servers that name a rate limit.

The load that this answers: a server that takes a few requests a second, and many entry
VMs that each have some for it. The controller gives out one permit for each request
that the limit allows. Permits count from the time at which the VM asked for them, by
the VM's own clock, and expire soon, so one that arrives late is not used. A VM that the
controller does not answer sends a part of the limit by itself.
"""

from __future__ import annotations

import collections
import itertools
import math
import random

# Time from a request for permits until they expire.
VALIDITY_S = 0.5
# A VM whose requests for permits were not answered for this time does without them.
ANSWER_TIMEOUT_S = 1.0
# Part of the limit for all entry VMs together that do without permits.
FALLBACK_FRACTION = 0.5
# Shortest time between two requests for permits, and the time after which a request for
# the same number is repeated.
ASK_INTERVAL_S = 0.05
REPEAT_INTERVAL_S = 0.2
# The same for cold servers. The controller forgets requests after VALIDITY_S.
COLD_REPEAT_INTERVAL_S = 0.4
# Time for which the answer of the controller tells how many others wait.
KNOWN_FOR_S = 0.5
# How often all entry VMs together ask for a permit for which no request waits, for each
# request that the limit allows.
SPARE_ASKS_PER_PERMIT = 4.0
# Permits that the controller saves up, in seconds of the limit, and their least number.
SAVED_S = 0.25
MIN_SAVED = 1.0
# Part of the limit that calls for grants may take from requests.
MAX_CALLS_FRACTION = 0.5
# A server for which nobody has asked for this long is forgotten.
FORGET_S = 10.0


class PermitAnswer:
    """Answer of the controller to a request for permits.

    :param number: number of the request for permits.
    :param serial: number of the answer, unique for the controller.
    :param granted: number of permits.
    :param saved: permits that are left, with the fraction of the next one.
    :param waiting_by_rank: ``{rank: requests}`` that wait at other entry VMs.
    """

    __slots__ = ("granted", "number", "saved", "serial", "waiting_by_rank")

    def __init__(self, *, number, serial, granted, saved, waiting_by_rank):
        self.number = number
        self.serial = serial
        self.granted = granted
        self.saved = saved
        self.waiting_by_rank = waiting_by_rank


class _Asked:
    __slots__ = ("answer_serials", "at", "controller", "number")

    def __init__(self, *, number, at, controller):
        self.number = number
        self.at = at
        self.controller = controller
        self.answer_serials = set()


class PermitHolder:
    """Permits of one entry VM for one lifetime of a server.

    :param uniform: function that returns a random number from 0 to 1.
    """

    __slots__ = (
        "_asked",
        "_expiry_times",
        "_known",
        "_known_at",
        "_next_alone_at",
        "_next_spare_at",
        "_numbers",
        "_outstanding",
        "_unanswered_since",
        "_uniform",
        "_wanted",
    )

    def __init__(self, *, uniform=random.random):
        self._uniform = uniform
        # Numbers differ between processes, so that none takes answers to another one.
        self._numbers = itertools.count(int(uniform() * 2**40))
        self._asked = collections.deque(maxlen=16)
        self._expiry_times = collections.deque()
        self._known = None
        self._known_at = -math.inf
        self._unanswered_since = None
        # Time from which the VM may send its next request without a permit.
        self._next_alone_at = None
        # Time from which the VM may ask for a permit without a waiting request.
        self._next_spare_at = None
        self._wanted = {}
        # Requests that the controller believes to wait here.
        self._outstanding = 0

    def should_ask(self, wanted_by_rank, now, repeat_s=REPEAT_INTERVAL_S):
        """Returns whether to ask for permits now.

        A VM that wants none any more says so, since others are told how many wait.

        :param wanted_by_rank: ``{rank: requests}`` that wait at this entry VM.
        :param repeat_s: time after which a request for the same number is repeated.
        """
        since_s = self.asked_since_s(now)
        if not wanted_by_rank:
            return self._outstanding > 0 and since_s < VALIDITY_S
        if wanted_by_rank == self._wanted:
            return since_s >= repeat_s
        return since_s >= ASK_INTERVAL_S

    def ask(self, wanted_by_rank, controller, now):
        """Records a request for permits and returns its number.

        :param controller: name of the process that is asked, or None if there is none.
        """
        number = next(self._numbers)
        self._asked.append(_Asked(number=number, at=now, controller=controller))
        self._wanted = dict(wanted_by_rank)
        self._outstanding = sum(wanted_by_rank.values())
        if wanted_by_rank and self._unanswered_since is None:
            self._unanswered_since = now
        return number

    def take_spare_turn(self, now, per_s, vms):
        """Returns whether to ask for a permit for which no request waits.

        Turns are rarer with more entry VMs, so that the controller is not asked by all
        of them at once.

        :param per_s: limit of the server.
        :param vms: number of entry VMs.
        """
        interval_s = vms / (SPARE_ASKS_PER_PERMIT * per_s)
        if self._next_spare_at is None:
            self._next_spare_at = now + interval_s * self._uniform()
        if now < self._next_spare_at:
            return False
        self._next_spare_at = now + interval_s * (0.5 + self._uniform())
        return True

    def receive(self, answer, controller, now):
        """Takes the permits of an answer.

        :param controller: name of the process that has answered.
        :returns: whether the answer was of use: asked for and not seen before.
        """
        for asked in self._asked:
            if asked.number == answer.number and asked.controller == controller:
                break
        else:
            return False
        if answer.serial in asked.answer_serials:
            return False
        asked.answer_serials.add(answer.serial)
        self._unanswered_since = None
        self._known, self._known_at = answer, now
        self._outstanding -= answer.granted
        if answer.granted:
            # Fewer requests wait at the controller now than were asked for.
            self._wanted = {}
        expires_at = asked.at + VALIDITY_S
        if now < expires_at:
            self._expiry_times.extend([expires_at] * answer.granted)
        return True

    def asked_since_s(self, now):
        """Returns the seconds since the last request for permits."""
        return now - self._asked[-1].at if self._asked else math.inf

    def has_permit(self, now):
        """Returns whether a permit is left."""
        return self._count(now) > 0

    def is_alone(self, now):
        """Returns whether the controller does not answer."""
        return (
            self._unanswered_since is not None
            and now - self._unanswered_since >= ANSWER_TIMEOUT_S
        )

    def is_available(self, now, per_s, vms):
        """Returns whether a request may be sent now.

        :param per_s: limit of the server.
        :param vms: number of entry VMs.
        """
        if self._count(now):
            return True
        return self.is_alone(now) and now >= self._alone_at(now, per_s, vms)

    def take(self, now, per_s, vms):
        """Uses up a permit, or the turn of a VM that does without."""
        if self._count(now):
            self._expiry_times.popleft()
        elif self._next_alone_at is not None:
            self._next_alone_at += _alone_interval_s(per_s, vms)

    def _count(self, now):
        while self._expiry_times and self._expiry_times[0] <= now:
            self._expiry_times.popleft()
        return len(self._expiry_times)

    def _alone_at(self, now, per_s, vms):
        """Returns the time from which a request may be sent without a permit.

        A turn that is not used passes, so that turns of many VMs do not add up.
        """
        interval_s = _alone_interval_s(per_s, vms)
        if self._next_alone_at is None:
            self._next_alone_at = now + self._uniform() * interval_s
        late_s = now - self._next_alone_at
        if late_s > VALIDITY_S:
            self._next_alone_at += interval_s * math.ceil(
                (late_s - VALIDITY_S) / interval_s
            )
        return self._next_alone_at

    def expected_wait_s(self, now, per_s, vms, *, rank, ahead):
        """Returns the expected wait of a request until it gets a permit.

        :param rank: rank of the request.
        :param ahead: requests of this rank or a more urgent one that wait here.
        """
        if self.is_alone(now):
            wait_s = max(0.0, self._alone_at(now, per_s, vms) - now)
            return wait_s + ahead * _alone_interval_s(per_s, vms)
        missing = ahead - self._count(now)
        if now - self._known_at < KNOWN_FOR_S:
            missing += 1 - self._known.saved - (now - self._known_at) * per_s
            missing += sum(
                count
                for other_rank, count in self._known.waiting_by_rank.items()
                if other_rank <= rank
            )
        # Without a recent answer, one permit may be left.
        return max(0.0, missing / per_s)


def _alone_interval_s(per_s, vms):
    return vms / (FALLBACK_FRACTION * per_s)


class _Waiting:
    """Requests that wait at one entry VM."""

    __slots__ = ("at", "count_by_rank", "number", "served_at")

    def __init__(self):
        self.number = -1
        self.count_by_rank = {}
        self.at = -math.inf
        self.served_at = -math.inf


class _Server:
    __slots__ = ("asked_at", "call_debt", "refilled_at", "saved", "waiting_by_vm")

    def __init__(self, now):
        self.asked_at = now
        self.refilled_at = now
        self.saved = MIN_SAVED
        # Calls for grants that the limit has not paid for yet.
        self.call_debt = 0.0
        self.waiting_by_vm = {}

    def refill(self, per_s, now):
        new = max(0.0, now - self.refilled_at) * per_s
        self.refilled_at = max(self.refilled_at, now)
        paid = min(self.call_debt, MAX_CALLS_FRACTION * new)
        self.call_debt -= paid
        self.saved += new - paid

    def discard_excess(self, per_s):
        """Limits what is saved up for requests that come later."""
        self.saved = min(max(MIN_SAVED, SAVED_S * per_s), self.saved)


class PermitIssuer:
    """Gives out the permits of all servers while this process is the controller.

    :param usable_from: time from which permits of earlier controllers have expired.
    """

    __slots__ = ("_serials", "_server_by_instance", "_usable_from")

    def __init__(self, *, usable_from):
        self._usable_from = usable_from
        self._server_by_instance = {}
        self._serials = itertools.count()

    def request(self, instance, vm, number, wanted_by_rank, per_s, now):
        """Handles a request for permits.

        :param instance: key of the server's lifetime.
        :param vm: key of the entry VM that asks.
        :param number: number of the request; an earlier one of the VM is outdated.
        :param wanted_by_rank: ``{rank: requests}`` that wait at that VM.
        :param per_s: limit of the server.
        :returns: ``{vm: PermitAnswer}`` of all VMs that get one.
        """
        if now < self._usable_from:
            return {}
        server = self._server_by_instance.get(instance)
        if server is None:
            server = self._server_by_instance[instance] = _Server(now)
        waiting = server.waiting_by_vm.get(vm)
        if waiting is not None and number <= waiting.number:
            return {}
        # What has become available until now is for earlier requests, and expires with
        # them.
        answers = self._answers(server, self._distribute(server, per_s, now))
        waiting = server.waiting_by_vm.setdefault(vm, _Waiting())
        waiting.number = number
        waiting.count_by_rank = dict(wanted_by_rank)
        waiting.at = server.asked_at = now
        if vm in answers:
            return answers
        granted_by_vm = self._distribute(server, per_s, now)
        if wanted_by_rank:
            granted_by_vm.setdefault(vm, 0)
        answers.update(self._answers(server, granted_by_vm))
        return answers

    def grant_all(self, number, wanted_by_rank):
        """Returns the :class:`PermitAnswer` for a server without a limit."""
        return PermitAnswer(
            number=number,
            serial=next(self._serials),
            granted=sum(wanted_by_rank.values()),
            saved=0.0,
            waiting_by_rank={},
        )

    def tick(self, limit_of, now):
        """Gives out the permits that have become available.

        :param limit_of: function that returns the limit of an instance, or None.
        :returns: ``{instance: {vm: PermitAnswer}}``.
        """
        answers_by_instance = {}
        for instance, server in list(self._server_by_instance.items()):
            per_s = limit_of(instance)
            if per_s is None or now - server.asked_at > FORGET_S:
                del self._server_by_instance[instance]
                continue
            granted_by_vm = self._distribute(server, per_s, now)
            if granted_by_vm:
                answers_by_instance[instance] = self._answers(server, granted_by_vm)
        return answers_by_instance

    def count_call(self, instance):
        """Counts a call of the controller itself to a server."""
        server = self._server_by_instance.get(instance)
        if server is not None:
            server.call_debt += 1

    def _distribute(self, server, per_s, now):
        """Returns ``{vm: permits}``: urgent requests first, then VMs in turn.

        All that wait have asked before the last refill, or nothing is new since. So
        each permit counts from the time at which it became available, and what is left
        of it counts towards the next one. Otherwise ticks would lower the limit.
        """
        server.refill(per_s, now)
        for vm, waiting in list(server.waiting_by_vm.items()):
            if now - waiting.at >= VALIDITY_S:
                del server.waiting_by_vm[vm]
        granted_by_vm = {}
        while server.saved >= 1:
            entries = [
                (min(waiting.count_by_rank), waiting.served_at, waiting.number, vm)
                for vm, waiting in server.waiting_by_vm.items()
                if waiting.count_by_rank
            ]
            if not entries:
                break
            rank, _, _, vm = min(entries, key=lambda entry: entry[:3])
            waiting = server.waiting_by_vm[vm]
            waiting.served_at = now
            waiting.count_by_rank[rank] -= 1
            if waiting.count_by_rank[rank] <= 0:
                del waiting.count_by_rank[rank]
            server.saved -= 1
            granted_by_vm[vm] = granted_by_vm.get(vm, 0) + 1
        server.discard_excess(per_s)
        return granted_by_vm

    def _answers(self, server, granted_by_vm):
        answers = {}
        for vm, granted in granted_by_vm.items():
            others = collections.Counter()
            for other, waiting in server.waiting_by_vm.items():
                if other != vm:
                    others.update(waiting.count_by_rank)
            answers[vm] = PermitAnswer(
                number=server.waiting_by_vm[vm].number,
                serial=next(self._serials),
                granted=granted,
                saved=server.saved,
                waiting_by_rank=dict(others),
            )
        return answers
