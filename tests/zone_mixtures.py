"""Troubles of a zone's relay alone, drawn by seed, judged at each VM all the time.

``python tests/zone_mixtures.py FIRST_SEED PLAYS`` prints the late plays.
"""

from __future__ import annotations

import logging
import random
import sys

from entry_fakes import RelayNetwork, World, configuration
from store_path import StorePath
from test_entry_lost_calls import SOUND_S
from trouble_mixtures import APPLY_S, STEP_S

VMS = 4
PLAY_S = 30.0

TROUBLES_BY_NAME = {}


def trouble(function):
    """Registers a trouble: ``function(play)`` is a generator.

    It disturbs the relay and yields the seconds until it goes on.
    """
    TROUBLES_BY_NAME[function.__name__] = function
    return function


class ZonePlay:
    """A zone of which only the relay suffers, while the configuration changes.

    A version binds each VM on its own: it has to be in force ``APPLY_S`` after its
    acknowledgement at a VM that nothing has touched in the ``SOUND_S`` before.

    :param seed: of the troubles, the changes and the VMs' own random delays.
    """

    def __init__(self, *, seed):
        self.random = random.Random(f"zone {seed}")
        random.seed(seed)
        self.world = World()
        self.network = RelayNetwork(self.world)
        self.world.store.put("op/config", configuration(version=4))
        for number in range(1, VMS + 1):
            path = StorePath(self.world)
            self.world.add_node(f"front-poa-{number}", number, store_path=path)
        self.network.advance(8.0)
        self.relay = self.world.nodes[0]
        assert not self.relay.view.uses_relay
        # Version and time of each change that may not yet be in force everywhere.
        self._changes = []
        self._version = 4
        self._touched_at = -SOUND_S
        self.late_s_by_node = {}

    @property
    def now(self):
        return self.world.reactor.seconds()

    def run(self):
        """Plays the troubles one after the other.

        :returns: ``{name of a VM: seconds for which a version was late}``.
        """
        draw = self.random
        end = self.now + PLAY_S
        change_at = self.now
        steps, go_on_at = None, self.now + draw.uniform(0.0, 2.0)
        while self.now < end:
            if steps is not None:
                self._touched_at = self.now
            if self.now >= go_on_at:
                if steps is None:
                    name = draw.choice(sorted(TROUBLES_BY_NAME))
                    steps = TROUBLES_BY_NAME[name](self)
                try:
                    go_on_at = self.now + next(steps)
                except StopIteration:
                    steps = None
                    go_on_at = self.now + draw.uniform(0.05, 4.0)
            if self.now >= change_at:
                change_at = self.now + draw.uniform(0.3, 1.6)
                self._write()
            self.network.advance(STEP_S)
            self._judge()
        return self.late_s_by_node

    def _write(self):
        self._version += 1
        self.world.store.put("op/config", configuration(version=self._version))
        self._changes.append((self._version, self.now))

    def _judge(self):
        """Notes each VM in touch that does not use a version in time."""
        oldest = min(node.configuration_version for node in self.world.nodes)
        self._changes = [change for change in self._changes if change[0] > oldest]
        for node in self.world.nodes:
            if node is self.relay and self.now - self._touched_at <= SOUND_S:
                continue
            for version, written_at in self._changes:
                late_s = self.now - written_at - APPLY_S
                if node.configuration_version < version and late_s > STEP_S:
                    known_s = self.late_s_by_node.get(node.settings.node, 0.0)
                    self.late_s_by_node[node.settings.node] = max(known_s, late_s)
                    break


@trouble
def store_is_cut_off(play):
    path = play.relay.store_path
    path.retransmission_s = play.random.choice((0.2, 0.8, 1.6))
    path.cut = True
    yield play.random.choice((0.1, 0.3, 0.6, 1.0, 1.6, 2.4, 5.0))
    path.heal()


@trouble
def store_connections_fall_silent(play):
    play.relay.store_path.fall_silent()
    yield play.random.uniform(0.02, 1.0)


@trouble
def store_refuses(play):
    play.relay.store_path.is_refusing = True
    yield play.random.choice((0.1, 0.5, 1.5, 4.0))
    play.relay.store_path.is_refusing = False


@trouble
def store_is_slow(play):
    path = play.relay.store_path
    path.queue_s = play.random.choice((0.05, 0.1, 0.3, 0.6, 1.2, 2.5))
    yield play.random.uniform(0.5, 6.0)
    path.queue_s = 0.0


@trouble
def store_grows_slow(play):
    path = play.relay.store_path
    most_s = play.random.choice((0.5, 1.0, 3.0))
    while path.queue_s < most_s:
        path.queue_s += 0.1
        yield play.random.uniform(0.1, 0.4)
    path.queue_s = 0.0


@trouble
def followers_are_cut_off(play):
    play.network.cut = True
    yield play.random.choice((0.1, 0.3, 0.6, 0.95, 1.5, 3.0))
    play.network.cut = False


@trouble
def follower_connections_fall_silent(play):
    play.network.fall_silent()
    yield play.random.uniform(0.02, 1.0)


@trouble
def frames_are_late(play):
    play.network.delay_s = play.random.choice((0.2, 0.5, 0.9, 1.5, 3.0))
    yield play.random.uniform(0.5, 6.0)
    play.network.delay_s = 0.0


@trouble
def frames_grow_late(play):
    most_s = play.random.choice((0.4, 0.8, 1.5, 3.0, 6.0))
    while play.network.delay_s < most_s:
        play.network.delay_s += 0.1
        yield play.random.uniform(0.1, 0.5)
    yield play.random.uniform(0.0, 4.0)
    play.network.delay_s = 0.0


@trouble
def frames_arrive_in_pieces(play):
    play.network.bytes_per_s = play.random.choice((50, 100, 300, 1_000))
    yield play.random.uniform(0.5, 6.0)
    play.network.bytes_per_s = None


@trouble
def relay_is_slow(play):
    path = play.relay.store_path
    delay_s = play.random.choice((0.1, 0.2, 0.4, 0.8, 1.6))
    path.queue_s = play.network.delay_s = delay_s
    yield play.random.uniform(0.5, 6.0)
    path.queue_s = play.network.delay_s = 0.0


def late_plays(seeds):
    """Returns ``{seed: {name of a VM: seconds too late}}`` of the late plays."""
    late_s_by_seed = {}
    for seed in seeds:
        late_s_by_node = ZonePlay(seed=seed).run()
        if late_s_by_node:
            late_s_by_seed[seed] = {
                name: round(late_s, 2) for name, late_s in late_s_by_node.items()
            }
    return late_s_by_seed


def main():
    logging.disable()
    first, plays = int(sys.argv[1]), int(sys.argv[2])
    late_s_by_seed = late_plays(range(first, first + plays))
    print(f"{plays} plays, {len(late_s_by_seed)} late: {late_s_by_seed}")


if __name__ == "__main__":
    main()
