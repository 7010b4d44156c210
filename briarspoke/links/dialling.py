"""Schedules connection attempts to the link addresses of other entry VMs."""

from __future__ import annotations

INITIAL_DELAY_S = 0.2
MAX_DELAY_S = 1.5
# Seeds may include VMs that no longer exist, so they are dialled less often.
MAX_SEED_DELAY_S = 2.0
# The node with the greater id waits this long before its first attempt, so that it
# dials only if the other node has not connected by then.
PEER_FIRST_DELAY_S = 0.5
# The loss of a zone leaves many members down. One successful seed is enough
# because the first link brings the state of all members.
MAX_SEEDS_PER_ROUND = 4
SEED_INTERVAL_S = 0.5


class _DialState:
    __slots__ = ("connect_deferred", "delay_s", "next_attempt_at")

    def __init__(self, next_attempt_at):
        self.next_attempt_at = next_attempt_at
        self.delay_s = INITIAL_DELAY_S
        self.connect_deferred = None


class DialScheduler:
    """Chooses the addresses to dial, with backoff and jitter per address.

    :param rng: the ``random.Random`` that provides the jitter.
    """

    def __init__(self, *, rng):
        self._rng = rng
        self._by_address = {}
        self._own_addresses = set()
        self._seeds_chosen_at = None

    def choose_addresses(self, targets, seeds, now):
        """Returns the addresses to dial now and starts their backoff.

        :param targets: ``{address: whether the peer is expected to dial first}``.
        :param seeds: further addresses; at most ``MAX_SEEDS_PER_ROUND`` of them are
            returned every ``SEED_INTERVAL_S``.
        :param now: monotonic time in seconds.
        """
        for address in self._by_address.keys() - targets.keys() - set(seeds):
            if self._by_address[address].connect_deferred is None:
                del self._by_address[address]
        chosen = []
        for address, peer_dials_first in targets.items():
            state = self._get_state(
                address, now + PEER_FIRST_DELAY_S * peer_dials_first
            )
            if self._is_due(address, state, now):
                chosen.append(address)
        chosen.extend(self._choose_seeds(targets, seeds, now))
        for address in chosen:
            state = self._by_address[address]
            max_delay_s = MAX_DELAY_S if address in targets else MAX_SEED_DELAY_S
            state.next_attempt_at = now + state.delay_s * self._rng.uniform(0.5, 1.0)
            state.delay_s = min(state.delay_s * 2, max_delay_s)
        return chosen

    def _choose_seeds(self, targets, seeds, now):
        if (
            self._seeds_chosen_at is not None
            and now - self._seeds_chosen_at < SEED_INTERVAL_S
        ):
            return []
        due = [
            address
            for address in seeds
            if address not in targets
            and self._is_due(address, self._get_state(address, now), now)
        ]
        if due:
            self._seeds_chosen_at = now
        self._rng.shuffle(due)
        return due[:MAX_SEEDS_PER_ROUND]

    def _get_state(self, address, next_attempt_at):
        state = self._by_address.get(address)
        if state is None:
            state = self._by_address[address] = _DialState(next_attempt_at)
        return state

    def _is_due(self, address, state, now):
        return (
            address not in self._own_addresses
            and state.connect_deferred is None
            and now >= state.next_attempt_at
        )

    def record_attempt(self, address, connect_deferred):
        """Records a connection attempt in progress.

        :param connect_deferred: the Deferred of the connection.
        """
        if address in self._by_address:
            self._by_address[address].connect_deferred = connect_deferred

    def record_failure(self, address, now):
        """Records a failed attempt and delays the next one by the backoff."""
        state = self._by_address.get(address)
        if state is not None:
            state.connect_deferred = None
            state.next_attempt_at = max(
                state.next_attempt_at, now + state.delay_s * self._rng.uniform(0.5, 1.0)
            )

    def record_success(self, address):
        """Resets the backoff of an address after its link became ready."""
        self._by_address.pop(address, None)

    def record_own_address(self, address):
        """Excludes an address of this node itself from dialling."""
        self._own_addresses.add(address)

    def cancel(self):
        """Cancels all connection attempts in progress."""
        for state in list(self._by_address.values()):
            if state.connect_deferred is not None:
                state.connect_deferred.cancel()
