"""Division of capacity by demand: the controller's shares, and their use at VMs."""

from __future__ import annotations

import json

import cbor2
import pytest
from entry_fakes import World, configuration, request
from hypothesis import given, settings
from hypothesis import strategies as st

from briarspoke.entry import room
from briarspoke.entry.division import INTERVAL_S
from briarspoke.entry.sharenews import MAX_AGE_S, News, ServiceNews, ShareNews
from briarspoke.keyspace import demand
from briarspoke.keyspace.demand import DemandEstimate, Divider, wanted_shares
from briarspoke.keyspace.load import RecentAnswers
from briarspoke.keyspace.placement import Candidate

SERVICE = "orders"
STEP_S = 0.125
# Delays of a message within HOLD_S - MAX_AGE_S; None for a lost one.
DELAYS = st.one_of(st.none(), st.sampled_from((0.0, 0.125, 0.375)))
RATES = st.floats(0.0, 1000.0)


def news(number, shares=None, *, sent_at, vms=4, controller="c", full=None):
    """Returns a message with the shares of VMs by name."""
    of_service = ServiceNews.of_names(share_by_node=shares or {}, full_server_ids=full)
    return News(
        controller=controller,
        number=number,
        sent_at=sent_at,
        vms=vms,
        by_service={SERVICE: of_service},
    )


class TestDemandEstimate:
    def rate(self, estimate, now):
        return estimate.rate_by_node(SERVICE, now).get("a")

    def report(self, estimate, number, count, now, process="p"):
        estimate.add("a", process, number, {SERVICE: count}, now)

    def test_follows_a_change_within_seconds(self):
        estimate = DemandEstimate()
        for number in range(4):
            self.report(estimate, number, 5 * number, 0.5 * number)
        assert self.rate(estimate, 1.5) == pytest.approx(10)
        for number in range(4, 8):
            self.report(estimate, number, 15 + 50 * (number - 3), 0.5 * number)
        assert 80 < self.rate(estimate, 3.5) < 100

    def test_late_doubled_and_lost_reports(self):
        # Guards against shares for requests that were counted twice or not at all.
        estimate = DemandEstimate()
        for number in (0, 1, 3, 3, 2, 4, 6):
            self.report(
                estimate, number, 5 * number, 0.5 * number + 0.01 * (number % 2)
            )
        assert self.rate(estimate, 3.0) == pytest.approx(10, rel=0.05)

    def test_restarted_vm(self):
        estimate = DemandEstimate()
        self.report(estimate, 7, 1000, 0.0)
        self.report(estimate, 8, 1005, 0.5)
        self.report(estimate, 1, 0, 1.0, process="q")
        self.report(estimate, 2, 5, 1.5, process="q")
        assert self.rate(estimate, 1.5) == pytest.approx(10)

    def test_silent_vm_is_forgotten(self):
        estimate = DemandEstimate()
        for number in range(3):
            self.report(estimate, number, 5 * number, 0.5 * number)
        assert self.rate(estimate, 1.0 + demand.REPORT_MAX_AGE_S) is not None
        assert self.rate(estimate, 1.1 + demand.REPORT_MAX_AGE_S) is None


class TestWantedShares:
    @given(rates=st.lists(RATES, min_size=1, max_size=60), utilisation=st.floats(0, 5))
    def test_no_vm_starves_and_the_sum_is_bounded(self, rates, utilisation):
        wanted = wanted_shares(dict(enumerate(rates)), utilisation)
        assert all(
            demand.MIN_SHARE <= s <= demand.MAX_SHARE + 1e-9 for s in wanted.values()
        )
        if utilisation >= demand.MIN_SHARE_UTILISATION:
            assert sum(wanted.values()) <= len(rates) * (1 + 1e-6)

    def test_with_free_capacity_no_vm_gets_less(self):
        wanted = wanted_shares({"a": 100.0, "b": 0.0}, demand.SCARCE_UTILISATION)
        assert wanted["a"] > 1.0
        assert wanted["b"] == 1.0

    def test_few_requests_hardly_change_shares(self):
        # Guards against limits that follow chance: 0.6 requests a second at each VM.
        wanted = wanted_shares({"a": 0.0, "b": 2.0, "c": 0.0, "d": 0.0}, 1.0)
        assert all(abs(share - 1.0) < 0.35 for share in wanted.values())


class TestFullOwners:
    def test_load_rejections_and_limits(self):
        candidates = []
        for number, load in enumerate((1.0, 8.0, 1.0, 1.0)):
            candidates.append(
                Candidate(
                    server_instance=(f"s-{number}", 1),
                    slots=6,
                    latency_s=0.5,
                    limit_per_s=4.0 if number == 3 else None,
                )
            )
            candidates[-1].load = load
        records = {(f"s-{number}", 1): None for number in range(5)}
        rejected = RecentAnswers()
        rejected.rejections = 1
        assert demand.full_owners(records, candidates, {"s-2": rejected}, 5.0) == {
            "s-1",
            "s-2",
            "s-3",
            "s-4",
        }
        assert demand.full_owners(records, candidates, {}, 1.0) is None


class Division:
    """A controller and VMs between which messages are lost, late and doubled.

    :param rates: for each interval, requests per second of each VM.
    """

    def __init__(self, vms):
        self.now = 0.0
        self.names = [f"vm-{number}" for number in range(vms)]
        self.divider = Divider()
        self.controller = "c-1"
        self.number = 0
        self.news_by_name = {name: ShareNews(node=name) for name in self.names}
        self.on_way = []

    def restart_controller(self):
        """Replaces the controller; the next one gives nothing for HOLD_S."""
        self.now += demand.HOLD_S
        self.controller = f"c-{self.number}"
        self.divider = Divider()
        self.on_way = [entry for entry in self.on_way if entry[0] >= self.now]

    def interval(self, rates, delays, *, utilisation, vms):
        """Sends one message, and yields after each step until the next."""
        self.number += 1
        share_by_node = self.divider.divide(
            dict(zip(self.names, rates, strict=False)),
            vms=vms,
            utilisation=utilisation,
            now=self.now,
        )
        message = news(
            self.number,
            share_by_node,
            sent_at=self.now,
            vms=vms,
            controller=self.controller,
        )
        for name, of_vm in zip(self.names, delays, strict=False):
            self.on_way += [
                (self.now + d, name, message) for d in of_vm if d is not None
            ]
        for _ in range(round(INTERVAL_S / STEP_S)):
            for entry in [e for e in self.on_way if e[0] <= self.now]:
                self.on_way.remove(entry)
                self.news_by_name[entry[1]].receive(entry[2], self.now)
            yield
            self.now += STEP_S

    def shares(self, vms):
        return [n.share(SERVICE, vms, self.now) for n in self.news_by_name.values()]


class TestSumOfShares:
    VMS = 6

    @given(data=st.data())
    @settings(deadline=None, max_examples=300)
    def test_keeps_its_bound_whatever_becomes_of_messages(self, data):
        division = Division(self.VMS)
        lists = st.lists(RATES, min_size=self.VMS, max_size=self.VMS)
        delays = st.lists(
            st.lists(DELAYS, min_size=1, max_size=2),
            min_size=self.VMS,
            max_size=self.VMS,
        )
        # A VM's first message shows how long the fastest takes.
        for _ in division.interval(
            [0] * self.VMS, [[0.0]] * self.VMS, utilisation=0, vms=self.VMS
        ):
            pass
        for _ in range(data.draw(st.integers(1, 10))):
            if data.draw(st.integers(0, 9)) == 0:
                division.restart_controller()
            utilisation = data.draw(st.floats(0, 2))
            for _ in division.interval(
                data.draw(lists),
                data.draw(delays),
                utilisation=utilisation,
                vms=self.VMS,
            ):
                shares = division.shares(self.VMS)
                assert sum(shares) <= self.VMS * (1 + demand.MAX_EXCESS) + 1e-9
                assert min(shares) >= demand.MIN_SHARE - demand.STEP

    @given(rates=st.lists(RATES, min_size=7, max_size=7), late=st.booleans())
    @settings(deadline=None)
    def test_three_quarters_more_vms_at_once(self, rates, late):
        # Slots are counted relative to all slots of the service. VMs that have joined
        # know the new number, earlier ones and the controller perhaps not yet.
        division = Division(4)
        for _ in range(6):
            for _ in division.interval(rates, [[0.0]] * 4, utilisation=1.0, vms=4):
                pass
        before = sum(division.shares(4)) / 4
        joined = 3 / 7
        known = 4 if late else 7
        for _ in division.interval(rates, [[0.0]] * 4, utilisation=1.0, vms=known):
            total = sum(division.shares(known)) / known + joined
            assert total <= 1 + demand.MAX_EXCESS + joined + 1e-9
        assert before <= 1 + demand.MAX_EXCESS + 1e-9

    def test_vm_that_counts_fewer_vms_than_the_controller(self):
        share_news = ShareNews(node="a")
        share_news.receive(news(1, {"a": 2.0}, sent_at=0.0, vms=8), 0.0)
        assert share_news.share(SERVICE, 4, 0.0) == 1.0

    def test_all_of_the_demand_at_a_third_of_the_vms(self):
        # Guards against a bound so low that callers of one zone are refused while the
        # capacity of others is free.
        division = Division(9)
        for _ in range(3):
            for _ in division.interval(
                [100.0] * 3 + [0.0] * 6, [[0.0]] * 9, utilisation=1.0, vms=9
            ):
                pass
        shares = division.shares(9)
        assert min(shares[:3]) > 2.3
        assert max(shares[3:]) < 0.35


class TestShareNews:
    def test_a_vm_without_news_has_the_equal_share(self):
        share_news = ShareNews(node="a")
        assert share_news.share(SERVICE, 4, 0.0) == 1.0
        assert share_news.has_room(SERVICE, "s-1", 0.0) is None
        share_news.receive(news(1, {"a": 2.0}, sent_at=5.0, full=["s-2"]), 0.0)
        assert share_news.share(SERVICE, 4, MAX_AGE_S) == 2.0
        assert share_news.has_room(SERVICE, "s-1", MAX_AGE_S) is True
        assert share_news.has_room(SERVICE, "s-2", MAX_AGE_S) is False
        assert share_news.share(SERVICE, 4, MAX_AGE_S + 0.01) == 1.0
        assert share_news.has_room(SERVICE, "s-1", MAX_AGE_S + 0.01) is None

    def test_late_message_is_as_old_as_it_is(self):
        share_news = ShareNews(node="a")
        share_news.receive(news(1, sent_at=5.0), 0.0)
        assert share_news.receive(news(2, {"a": 2.0}, sent_at=5.5), 2.0)
        assert not share_news.is_fresh(2.1)

    def test_doubled_and_overtaken_messages_are_ignored(self):
        share_news = ShareNews(node="a")
        share_news.receive(news(2, {"a": 2.0}, sent_at=5.0), 0.0)
        assert not share_news.receive(news(2, {"a": 2.0}, sent_at=5.0), 1.0)
        assert not share_news.receive(news(1, {"a": 4.0}, sent_at=4.5), 1.0)
        assert not share_news.is_fresh(1.6)

    def test_another_controller_waits_for_the_end_of_the_news(self):
        share_news = ShareNews(node="a")
        share_news.receive(news(2, {"a": 2.0}, sent_at=5.0), 0.0)
        other = news(1, {"a": 3.0}, sent_at=90.0, controller="d")
        assert not share_news.receive(other, 1.0)
        assert not share_news.receive(other, 1.6, controller="c")
        assert share_news.receive(other, 1.6, controller="d")
        assert share_news.share(SERVICE, 4, 1.6) == 3.0

    @given(
        shares=st.dictionaries(st.text(max_size=5), st.floats(0, 4), max_size=400),
        full=st.one_of(st.none(), st.frozensets(st.text(max_size=5), max_size=50)),
    )
    def test_survives_encoding(self, shares, full):
        sent = ServiceNews.of_names(share_by_node=shares, full_server_ids=full)
        got = ServiceNews.decode(sent.encode())
        assert got.full_servers == sent.full_servers
        assert got.shares.keys() == sent.shares.keys()
        for number, share in got.shares.items():
            assert 0 <= sent.shares[number] - share < 1 / 16


FIELD = st.recursive(
    st.none()
    | st.integers()
    | st.floats()
    | st.text(max_size=4)
    | st.binary(max_size=7),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner)
    ),
    max_leaves=6,
)


class TestUnreadableMessages:
    @given(
        kind=st.sampled_from((10, 11)), fields=st.lists(FIELD, min_size=4, max_size=5)
    )
    @settings(deadline=None)
    def test_are_dropped(self, world_of_two, kind, fields):
        # Guards against an error, or a share, from a message that is cut or forged.
        node = world_of_two.nodes[0]
        node.datagrams.datagramReceived(cbor2.dumps([kind, *fields]), ("10.0.1.9", 1))
        assert 0 <= node.division.news.share(SERVICE, 2, node.now()) < 16

    @pytest.mark.parametrize("shares", [b"abcd", "abc", None, 7])
    def test_shares_of_another_form(self, world_of_two, shares):
        node = world_of_two.nodes[0]
        fields = [node.process, 1, 1000, 2, {SERVICE: [shares, b""]}]
        node.datagrams.datagramReceived(cbor2.dumps([10, *fields]), ("10.0.1.9", 1))
        assert node.division.news.age_s(node.now()) is None


@pytest.fixture(scope="module")
def world_of_two():
    """Two VMs, each with a share of several requests at every server."""
    world = World()
    world.store.put("op/config", configuration())
    world.add_server("stock", 11)
    world.add_server("orders", 21)
    world.add_node()
    world.add_node("front-poa-2", 2)
    world.advance(4.0)
    return world


VMS = 20


@pytest.fixture
def world():
    """A controller and a VM of 20, a keyed service and one without keys."""
    world = World()
    world.store.put("op/config", configuration())
    body = {"zone": "cwb", "ip": "10.0.3.1", "port": 9000, "link_mbps": 10}
    for number in range(VMS - 2):
        world.store.put(f"briarspoke/nodes/far-{number}", json.dumps(body).encode())
    for number in (11, 12):
        world.add_server("stock", number)
    for number in range(21, 27):
        world.add_server("orders", number)
    world.leader = world.add_node()
    world.advance(2.0)
    world.node = world.add_node("front-poa-2", 2)
    world.advance(2.0)
    assert world.leader.control.is_leader
    assert world.node.node_count == VMS
    return world


def lookup(world, node, key, number):
    world.caller(node).send(request(key=key, request_id=f"l{number}"))


class TestDivision:
    def know_load(self, world):
        lookup(world, world.node, 7, 0)
        world.reactor.tcpClients.clear()
        world.advance(3.5)

    def owner_limit(self, world):
        dispatcher = world.node.dispatcher("stock")
        return dispatcher.selection.owner_limits.limit(dispatcher.servers["s-12"])

    def test_owners_with_room_get_more_requests_of_a_vm(self, world, caplog):
        caplog.set_level("INFO")
        assert self.owner_limit(world) == (1, room.NO_NEWS)
        self.know_load(world)
        assert self.owner_limit(world) == (room.MAX_AT_FREE_OWNER, room.FREE)
        assert "room: news begins" in caplog.text

    def test_owner_without_room_keeps_the_equal_share(self, world):
        self.know_load(world)
        # 4 slots and a service time of 0.09 s: 0.8 of what both owners can run.
        for number in range(240):
            world.leader.key_load.count("stock", 270 * number)
        world.advance(1.5)
        assert self.owner_limit(world) == (1, room.FULL)

    def test_without_the_controller_the_share_is_equal(self, world, caplog):
        caplog.set_level("INFO")
        self.know_load(world)
        world.leader.datagrams.send_shares = lambda *args: None
        world.advance(MAX_AGE_S + INTERVAL_S)
        assert self.owner_limit(world) == (1, room.NO_NEWS)
        assert "room: news ends" in caplog.text

    def test_share_of_a_vm_with_most_of_the_requests(self, world, caplog):
        caplog.set_level("INFO")
        dispatcher = world.node.dispatcher(SERVICE)
        usable = dispatcher.selection.usable()
        before = dispatcher.selection.service_limit(usable)
        for _ in range(10):
            dispatcher.arrived += 50
            world.advance(INTERVAL_S)
        assert dispatcher.selection.share > 1.5
        assert dispatcher.selection.service_limit(usable) > before
        assert caplog.text.count("room: shares begin service=orders") == 1
        page = world.node.metrics.render()
        assert b'capacity_shares{node="front-poa-2",service="orders"} 1.' in page
        world.advance(4.0)
        dispatcher.arrived += 0
        world.advance(8.0)
        assert dispatcher.selection.share == 1.0
        assert "room: shares end service=orders" in caplog.text

    def test_few_vms_send_no_messages(self, world_of_two):
        # Guards against work for deployments whose VMs have shares of several requests.
        nodes = world_of_two.nodes
        lookup(world_of_two, nodes[1], 7, 0)
        nodes[1].dispatcher("orders").arrived += 100
        world_of_two.advance(4.0)
        assert all(node.division.news.age_s(node.now()) is None for node in nodes)
