"""Mixtures of troubles on the path to the store, drawn by seed, and their long run.

``python tests/trouble_mixtures.py KIND FIRST_SEED PLAYS`` prints the late plays.
"""

from __future__ import annotations

import logging
import random
import sys

from entry_fakes import RelayNetwork, World, configuration, route
from store_path import StorePath
from test_entry_lost_calls import SOUND_S, keep_connections, register_lost_relay

STEP_S = 0.02
# A configuration is in force this long after the store has acknowledged it.
APPLY_S = 2.0
# Narrowest link of the deployments, and the queue at which a link counts as full.
SLOW_LINK_BYTES_PER_S = 5e6 / 8
SLOW_LINK_QUEUE_S = 0.1
SLOW_LINK_ROUTES = 600
GIVE_UP_S = 12.0

TROUBLES_BY_NAME = {}
SETUPS_BY_KIND = {}


def trouble(function):
    """Registers a trouble: ``function(play, paths)`` disturbs paths to the store."""
    TROUBLES_BY_NAME[function.__name__] = function
    return function


def setup(function):
    """Registers a deployment: ``function(play)`` adds VMs to the world of a play."""
    SETUPS_BY_KIND[function.__name__.replace("_", "-")] = function
    return function


class Play:
    """One mixture of troubles, after which the path to the store is sound.

    :param kind: name of the deployment.
    :param seed: of the troubles and of the VMs' own random delays.
    """

    def __init__(self, *, kind, seed):
        self.random = random.Random(f"{kind} {seed}")
        random.seed(seed)
        self.version = 4
        self.routes = None
        self.world = World()
        self.network = RelayNetwork(self.world)
        self._sound_at = self._written_at = None
        SETUPS_BY_KIND[kind](self)

    @property
    def now(self):
        return self.world.reactor.seconds()

    def write(self):
        """Writes a new version of the configuration to the store."""
        self.version += 1
        document = configuration(version=self.version, routes=self.routes)
        self.world.store.put("op/config", document)

    def add_node(self, number, **link):
        path = StorePath(self.world, **link)
        name = f"front-poa-{number}"
        return self.world.add_node(name, number, store_path=path)

    def advance(self, seconds):
        self.network.advance(max(STEP_S, seconds))

    def is_in_force(self):
        """Returns whether all VMs use the version written last."""
        return all(n.configuration_version == self.version for n in self.world.nodes)

    def run(self):
        """Plays the mixture.

        :returns: (seconds over the bound, seconds after the last trouble or the write
            of the last version) until that version is in force on all VMs.
        """
        draw = self.random
        self.advance(draw.uniform(0.0, 2.0))
        paths = [node.store_path for node in self.world.nodes]
        for _ in range(draw.randint(1, 6)):
            chosen = paths if draw.random() < 0.5 else [draw.choice(paths)]
            name = draw.choice(sorted(TROUBLES_BY_NAME))
            TROUBLES_BY_NAME[name](self, chosen)
            self.advance(draw.uniform(0.02, 3.2))
        if draw.random() < 0.75:
            if draw.random() < 0.5:
                keep(self, paths)
                self.advance(0.06)
            fall_silent(self, paths)
        self._sound_at = self.now
        if draw.random() < 0.5:
            self.advance(draw.uniform(0.0, SOUND_S))
        self.write()
        self._written_at = self.now
        while not self.is_in_force() and self.now < self._sound_at + GIVE_UP_S:
            self.advance(STEP_S)
        due_at = max(self._sound_at + SOUND_S, self._written_at + APPLY_S)
        return self.now - due_at, self.now - self._written_at


@trouble
def fall_silent(play, paths):
    for path in paths:
        path.fall_silent()
    if len(paths) == len(play.world.nodes) and play.random.random() < 0.5:
        play.network.fall_silent()


@trouble
def cut(play, paths):
    seconds = play.random.choice((0.04, 0.1, 0.3, 0.6, 1.0, 1.6, 2.4, 3.5, 5.0, 9.0))
    for path in paths:
        path.retransmission_s = play.random.choice((0.2, 0.8, 1.6))
        path.cut = True
    play.advance(seconds)
    for path in paths:
        path.heal()


@trouble
def cut_that_silences(play, paths):
    fall_silent(play, paths)
    cut(play, paths)


@trouble
def refuse(play, paths):
    for path in paths:
        path.is_refusing = True
    play.advance(play.random.choice((0.1, 0.5, 1.5, 4.0)))
    for path in paths:
        path.is_refusing = False


@trouble
def keep(play, paths):
    for node in play.world.nodes:
        if node.store_path in paths:
            keep_connections(node, play.random.randint(1, 6))


@trouble
def change(play, paths):
    play.write()


def _start(play, warm_up_s):
    play.write()
    play.advance(warm_up_s)
    assert play.is_in_force()


@setup
def one(play):
    play.add_node(1)
    _start(play, 3.0)


@setup
def relay(play):
    for number in (1, 2, 3, 4):
        play.add_node(number)
    _start(play, 8.0)


@setup
def lost_relay(play):
    play.add_node(1)
    _start(play, 3.0)
    register_lost_relay(play.world)
    play.advance(1.0)
    assert play.world.nodes[0].registry.relay_address() is not None


@setup
def slow_link(play):
    play.routes = {
        f"route-{number}": route("stock", prefix=f"/lookup/{number}/")
        for number in range(SLOW_LINK_ROUTES)
    }
    play.add_node(1, queue_s=SLOW_LINK_QUEUE_S, bytes_per_s=SLOW_LINK_BYTES_PER_S)
    _start(play, 6.0)


def late_plays(kind, seeds):
    """Returns ({seed: seconds over the bound}, longest recovery in seconds)."""
    late_s_by_seed = {}
    longest_s = 0.0
    for seed in seeds:
        late_s, recovery_s = Play(kind=kind, seed=seed).run()
        longest_s = max(longest_s, recovery_s)
        if late_s > STEP_S:
            late_s_by_seed[seed] = round(late_s, 2)
    return late_s_by_seed, longest_s


def main():
    logging.disable()
    kind, first, plays = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    late_s_by_seed, longest_s = late_plays(kind, range(first, first + plays))
    worst_s = max(late_s_by_seed.values(), default=0.0)
    print(
        f"{kind}: {plays} plays, {len(late_s_by_seed)} late, at most {worst_s:.2f} s "
        f"over the bound, longest recovery {longest_s:.2f} s: {late_s_by_seed}"
    )


if __name__ == "__main__":
    main()
