"""Keys after the store was restored beside the loss of the controller."""

from __future__ import annotations

import random

import pytest
from entry_fakes import STORE, World, configuration
from keyspace_fakes import (
    KEYS,
    SERVERS,
    address,
    controller,
    holders,
    lose,
    restore,
)
from test_keyspace_restored import check_tokens, drain, move

from briarspoke.entry import registry, reports, view
from briarspoke.keyspace import deputies, granter, leadership
from briarspoke.keyspace.deputies import (
    Deputies,
    KnownMaps,
    MapNotice,
    MapReceipt,
)

STEP_S = 0.05


def advance(world, seconds):
    """Lets time pass.

    :returns: longest time in seconds for which a key had no owner.
    """
    without_s = dict.fromkeys(KEYS, 0.0)
    longest_s = 0.0
    for _ in range(round(seconds / STEP_S)):
        world.advance(STEP_S)
        for key in KEYS:
            found = holders(world, key)
            assert len(found) <= 1, (key, found)
            without_s[key] = 0.0 if found else without_s[key] + STEP_S
            longest_s = max(longest_s, without_s[key])
    return longest_s


@pytest.fixture
def world():
    """A world with five entry VMs in three zones."""
    world = World()
    world.store.put("op/config", configuration())
    for number in SERVERS:
        world.add_server("stock", number)
    for number, zone in enumerate(("poa", "poa", "cwb", "cwb", "fln"), start=1):
        world.add_node(f"front-{zone}-{number}", number, zone=zone)
    world.advance(5.0)
    return world


class TestLostControllerBesideARestore:
    """Guards against keys without an owner until all earlier grants have expired."""

    @pytest.mark.parametrize("outage_s", [0.0, 1.0, 2.0])
    @pytest.mark.parametrize("lost_after_s", [0.0, 0.5, 1.0])
    def test_keys_keep_their_owners(self, world, outage_s, lost_after_s):
        copy = world.store.copy()
        drain(world, SERVERS[0])
        world.advance(3.0)
        before = {key: holders(world, key) for key in KEYS}
        world.store_down = outage_s > 0
        world.advance(min(lost_after_s, outage_s) + 0.01)
        lose(world, controller(world))
        world.advance(max(0.0, outage_s - lost_after_s) + 0.01)
        world.store_down = False
        restore(world, copy)
        assert advance(world, 25.0) <= 1.0
        assert {key: holders(world, key) for key in KEYS} == before
        check_tokens(world)

    def test_move_that_the_copy_lacks(self, world):
        copy = world.store.copy()
        move(controller(world), 0, 9_000, SERVERS[1])
        world.advance(1.0)
        assert holders(world, 0) == [f"s-{SERVERS[1]}"]
        lose(world, controller(world))
        restore(world, copy)
        assert advance(world, 25.0) <= 1.0
        assert holders(world, 0) == [f"s-{SERVERS[1]}"]
        check_tokens(world)

    @pytest.mark.parametrize("lost", [2, 3])
    def test_other_vms_are_lost_as_well(self, world, lost):
        copy = world.store.copy()
        lose(world, controller(world))
        for node in world.nodes[: lost - 1]:
            lose(world, node)
        restore(world, copy)
        assert advance(world, 25.0) <= 1.0

    def test_second_restore(self, world):
        copy = world.store.copy()
        lose(world, controller(world))
        restore(world, copy)
        longest_s = advance(world, 8.0)
        lose(world, controller(world))
        restore(world, copy)
        assert max(longest_s, advance(world, 25.0)) <= 1.0
        check_tokens(world)

    def test_all_deputies_are_lost(self, world):
        # Nobody knows the owners, so the keys wait.
        copy = world.store.copy()
        for node in list(world.nodes):
            lose(world, node)
        restore(world, copy)
        world.add_node("front-poa-1", 1)
        advance(world, 30.0)
        assert all(len(holders(world, key)) == 1 for key in KEYS)
        check_tokens(world)


class TestLostDeputy:
    """Guards against moves that wait for a VM that is gone."""

    def test_moves_go_on(self, world):
        leader = controller(world)
        for node in [node for node in world.nodes if node is not leader][:3]:
            lose(world, node)
        move(leader, 0, 9_000, SERVERS[1])
        world.advance(deputies.KNOWLEDGE_S + 1.0)
        assert holders(world, 0) == [f"s-{SERVERS[1]}"]

    def test_next_move_does_not_wait(self, world):
        leader = controller(world)
        for node in [node for node in world.nodes if node is not leader][:3]:
            lose(world, node)
        world.advance(deputies.KNOWLEDGE_S + 2.0)
        move(leader, 0, 9_000, SERVERS[1])
        world.advance(0.6)
        assert holders(world, 0) == [f"s-{SERVERS[1]}"]


class TestSumWithoutOwner:
    """Guards against parts that grow until keys have no owner after a restore."""

    def test_deputy_takes_over_before_the_grants_expire(self):
        # Longest time from the restore until a deputy knows of it.
        noticed_s = view.MAX_PROOF_INTERVAL_S
        # Takeover, its lease and record, the map and the grants, 50 ms for each call.
        taken_s = (
            leadership.RESTORE_DEPUTY_START_S
            + 0.02
            + leadership.TAKEOVER_JITTER_S
            + leadership.NARROW_LINK_DELAY_S
            + 4 * 0.05
        )
        held_s = 0.98 * granter.HOLD_S - granter.RENEWAL_INTERVAL_S
        assert noticed_s + taken_s - held_s <= 1.0

    def test_knowledge_outlasts_the_notice_of_a_restore(self):
        # The last receipt may be older by the interval of notices.
        known_s = deputies.KNOWLEDGE_S - 2 * deputies.NOTICE_INTERVAL_S
        assert known_s >= view.MAX_PROOF_INTERVAL_S + 0.5

    def test_lapsed_registrations_are_remembered(self):
        # A VM that is in touch was registered this long ago at most.
        known_s = view.MAX_VIEW_AGE_S + deputies.KNOWLEDGE_S
        assert known_s <= registry.COUNT_MEMORY_S


class TestChoiceOfDeputies:
    """Guards against moves that wait for receipts over a full link."""

    def test_widest_links_of_different_zones(self):
        sent = {}
        told = Deputies(
            term=(1, 1),
            earlier_end_at=0.0,
            send=lambda name, notice: sent.setdefault(name, []).append(notice),
        )
        link_by_node = {
            f"{zone}-{number}": (zone, 200.0 if number == 2 else 10.0)
            for zone in "abcd"
            for number in (1, 2, 3)
        }

        def tick(now):
            told.tick(
                now,
                link_by_node=link_by_node,
                required=set(),
                fence_by_service={"stock": 1},
                may_extend=True,
            )

        tick(10.0)
        assert sent.keys() == link_by_node.keys()
        for name, notices in sent.items():
            receipt = MapReceipt(
                node=name, process="p", term=(1, 1), number=1, sent_at=1.0
            )
            assert notices[0].receipt is None
            told.received(receipt, 10.1)
        tick(10.5)
        assert told.names() == {"a-2", "b-2", "c-2"}


class Bus:
    """A store, controllers and deputies, and notices that may be late or lost.

    Owners are numbers by range. A controller that may change an owner writes it; the
    owner is in force at once.
    """

    VMS = 4
    RANGES = ((0, 9), (10, 19), (20, 29))

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 50.0
        self.offset_by_vm = [self.random.uniform(0, 99) for _ in range(self.VMS)]
        # What the store has: token and owners by range. VMs have copies.
        self.fence = 1
        self.owners = dict.fromkeys(self.RANGES, 0)
        self.copies = [(1, dict(self.owners)) for _ in range(self.VMS)]
        self.vms = [self._known_maps(vm) for vm in range(self.VMS)]
        self.revision = 0
        self.controllers = []
        self.deposed_at_by_revision = {}
        self.messages = []
        self.late_s = 0.0
        self.lost = 0.0

    def _known_maps(self, vm):
        return KnownMaps(
            node=str(vm),
            process=f"{vm}-{self.random.random()}",
            highest_fence=lambda service: self.copies[vm][0],
        )

    def clock(self, vm):
        return self.now + self.offset_by_vm[vm]

    def take_over(self, vm):
        """Makes a VM the controller; an earlier one knows after a while."""
        self.revision += 1
        self.fence += 1
        self.copies[vm] = (self.fence, dict(self.owners))
        self.vms[vm].begin_term((1, self.revision))
        known_s = (leadership.LEASE_S + deputies.KNOWLEDGE_S) * 1.02
        term = (1, self.revision)
        told = Deputies(
            term=term,
            earlier_end_at=self.clock(vm) + known_s,
            send=lambda name, notice: self._post("notice", int(name), (notice, vm)),
        )
        if self.controllers:
            told.replaced_map("stock", str(self.controllers[-1][0]))
        self.deposed_at_by_revision[self.revision - 1] = self.now
        self.controllers.append((vm, term, told))

    def _post(self, kind, vm, content):
        if self.random.random() >= self.lost:
            late_s = self.random.uniform(0, self.late_s)
            self.messages.append((self.now + late_s, kind, vm, content))

    def step(self, seconds):
        self.now += seconds
        for message in [m for m in self.messages if m[0] <= self.now]:
            self.messages.remove(message)
            _, kind, vm, content = message
            if kind == "notice":
                notice, sender = content
                receipt = self.vms[vm].receive(
                    notice, self.clock(vm), era=1, may_extend=True
                )
                if receipt is not None:
                    self._post("receipt", sender, receipt)
                continue
            for other, term, told in self.controllers:
                if other == vm and term == content.term:
                    told.received(content, self.clock(vm))
        for vm, term, told in self.controllers:
            deposed_at = self.deposed_at_by_revision.get(term[1], self.now)
            # A controller that has lost its lease believes in it for a while.
            if self.now - deposed_at < leadership.LEASE_S:
                told.tick(
                    self.clock(vm),
                    link_by_node={
                        str(other): (str(other % 2), 10.0 * other)
                        for other in range(self.VMS)
                        if other != vm
                    },
                    required={str(other) for other in range(self.VMS) if other != vm},
                    fence_by_service={"stock": self.copies[vm][0]},
                    may_extend=True,
                )

    def change(self, key):
        """Lets the controller change the owner of a range, if it may."""
        vm, _, told = self.controllers[-1]
        if told.may_change("stock", *key, self.clock(vm)):
            self.fence += 1
            self.owners[key] += 1
            self.copies[vm] = (self.fence, dict(self.owners))
            told.changed("stock", *key)

    def check(self):
        """Checks that what each VM knows of the owners is true."""
        for vm, known in enumerate(self.vms):
            if self.clock(vm) > known._known_until:
                continue
            ranges = known._ranges_by_service.get("stock")
            if ranges is None:
                continue
            for key, owner in self.copies[vm][1].items():
                if key not in ranges:
                    assert owner == self.owners[key], (vm, key, ranges)


class TestWhatDeputiesKnow:
    """Guards against a deputy that takes an owner for known that has changed."""

    @pytest.mark.parametrize("seed", range(60))
    def test_it_is_true_whatever_is_late_or_lost(self, seed):
        bus = Bus(seed)
        draw = bus.random
        bus.take_over(0)
        calm_at = bus.now
        known = changes = 0
        for _ in range(400):
            if draw.random() < 0.02:
                bus.late_s = draw.choice((0.0, 0.01, 0.5, 2.0, 6.0))
                bus.lost = draw.choice((0.0, 0.0, 0.1, 0.6, 1.0))
            if draw.random() < (0.2 if bus.now < calm_at else 0.01):
                # Controllers often follow each other soon.
                bus.take_over(draw.randrange(bus.VMS))
                calm_at = bus.now + 1.5
            if draw.random() < 0.01:
                vm = draw.randrange(bus.VMS)
                bus.vms[vm] = bus._known_maps(vm)
            if draw.random() < 0.3:
                vm = draw.randrange(bus.VMS)
                bus.copies[vm] = (bus.fence, dict(bus.owners))
            bus.step(draw.uniform(0.0, 0.3))
            bus.check()
            before = bus.fence
            bus.change(draw.choice(bus.RANGES))
            changes += bus.fence > before
            bus.check()
            known += sum(
                bus.clock(vm) <= k._known_until for vm, k in enumerate(bus.vms)
            )
        assert known
        assert changes


class TestControllerThatWasADeputy:
    """Guards against a controller that believes an earlier one which is late."""

    def test_notice_of_an_earlier_term_is_not_used(self):
        known = KnownMaps(node="a", process="p", highest_fence=lambda service: 9)
        notice = MapNotice(
            term=(1, 3),
            number=1,
            state_by_service={"stock": (9, [])},
            receipt=("p", 10.0),
        )
        assert known.receive(notice, 10.1, era=1, may_extend=True) is not None
        known.begin_term((1, 4))
        assert known.receive(notice, 10.2, era=1, may_extend=True) is None
        known.era_rose(2, 10.3)
        assert not known.knows_owners(2)


class TestMessages:
    """Guards against a notice that says something else after its way."""

    def test_notice(self):
        notice = MapNotice(
            term=(2, 7),
            number=3,
            state_by_service={"stock": (9, [(0, 5)])},
            receipt=("p", 1.5),
        )
        sent = []
        datagrams = reports.Datagrams.__new__(reports.Datagrams)
        datagrams.transport = type(
            "T", (), {"write": lambda self, data, address: sent.append(data)}
        )()
        datagrams._on_map_notice = lambda notice, address: sent.append(notice)
        datagrams.send_map_notice(notice, STORE)
        datagrams.datagramReceived(sent[0], address(11))
        got = sent[1]
        for name in MapNotice.__slots__:
            assert getattr(got, name) == getattr(notice, name)
