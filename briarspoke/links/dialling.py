"""Decides when which address is dialled."""

from __future__ import annotations

FIRST_DELAY_S = 0.2
MAX_DELAY_S = 1.5
# Seeds may name VMs that are long gone; they are tried less often.
MAX_SEED_DELAY_S = 2.0
# The node with the greater id dials only if the other one does not manage.
POLITE_DELAY_S = 0.5
# Down members are many when a zone is lost; one success is enough, because the
# first link brings all member states.
MAX_SEEDS_AT_ONCE = 4
SEEDS_EVERY_S = 0.5


class _Attempts:
    __slots__ = ("connecting", "delay_s", "next_at")

    def __init__(self, next_at):
        self.next_at = next_at
        self.delay_s = FIRST_DELAY_S
        self.connecting = None


class Dialling:
    """Backoff per address, with jitter.

    :param rng: a ``random.Random``.
    """

    def __init__(self, *, rng):
        self._rng = rng
        self._by_address = {}
        self._own = set()
        self._seeds_at = None

    def choose(self, wanted, seeds, now):
        """Returns the addresses to dial now.

        :param wanted: ``{address: whether the other side dials first}``.
        :param seeds: further addresses, of which a few are tried at a time.
        """
        for address in self._by_address.keys() - wanted.keys() - set(seeds):
            if self._by_address[address].connecting is None:
                del self._by_address[address]
        chosen = []
        for address, is_polite in wanted.items():
            attempts = self._attempts(address, now + POLITE_DELAY_S * is_polite)
            if self._is_due(address, attempts, now):
                chosen.append(address)
        chosen.extend(self._choose_seeds(wanted, seeds, now))
        for address in chosen:
            attempts = self._by_address[address]
            limit = MAX_DELAY_S if address in wanted else MAX_SEED_DELAY_S
            attempts.next_at = now + attempts.delay_s * self._rng.uniform(0.5, 1.0)
            attempts.delay_s = min(attempts.delay_s * 2, limit)
        return chosen

    def _choose_seeds(self, wanted, seeds, now):
        if self._seeds_at is not None and now - self._seeds_at < SEEDS_EVERY_S:
            return []
        due = [
            address
            for address in seeds
            if address not in wanted
            and self._is_due(address, self._attempts(address, now), now)
        ]
        if due:
            self._seeds_at = now
        self._rng.shuffle(due)
        return due[:MAX_SEEDS_AT_ONCE]

    def _attempts(self, address, next_at):
        attempts = self._by_address.get(address)
        if attempts is None:
            attempts = self._by_address[address] = _Attempts(next_at)
        return attempts

    def _is_due(self, address, attempts, now):
        return (
            address not in self._own
            and attempts.connecting is None
            and now >= attempts.next_at
        )

    def started(self, address, connecting):
        """Notes a connection attempt; ``connecting`` is its Deferred."""
        if address in self._by_address:
            self._by_address[address].connecting = connecting

    def failed(self, address, now):
        """Notes a failed attempt; the next one comes after the backoff."""
        attempts = self._by_address.get(address)
        if attempts is not None:
            attempts.connecting = None
            attempts.next_at = max(
                attempts.next_at, now + attempts.delay_s * self._rng.uniform(0.5, 1.0)
            )

    def succeeded(self, address):
        """Forgets the backoff of an address."""
        self._by_address.pop(address, None)

    def is_self(self, address):
        """Notes that an address is this node's own."""
        self._own.add(address)

    def cancel(self):
        """Cancels all attempts that have not connected."""
        for attempts in list(self._by_address.values()):
            if attempts.connecting is not None:
                attempts.connecting.cancel()
