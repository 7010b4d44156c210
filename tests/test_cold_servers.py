"""Cold servers: how entry VMs learn of them, and what they get from all VMs."""

from __future__ import annotations

import logging
import re
from types import SimpleNamespace

import cbor2
import pytest
from entry_fakes import STORE, World, configuration, registration, request, route
from http_fakes import LOST
from hypothesis import given, settings
from hypothesis import strategies as st
from limit_fakes import AnsweringServers, Deployment, DiscardingTransport
from test_cold_limits import D1_BOUND, most_in_window, send_as_if_alone
from twisted.internet import error
from twisted.python.failure import Failure

from briarspoke.entry import coldlimits
from briarspoke.entry.coldlimits import cold_limit
from briarspoke.entry.coldness import ENTRY_DELAY_S, Coldness
from briarspoke.entry.connections import Answer
from briarspoke.entry.permits import PermitHolder
from briarspoke.entry.ratelimits import RateLimits
from briarspoke.entry.reports import KIND_COLD, KIND_PERMIT_REQUEST, Datagrams
from briarspoke.keyspace import placement
from briarspoke.platform.values import DecodeError
from briarspoke.platform.warmup import MAX_WARMUP_S, decode_warmup_s

SERVERS = (11, 12, 13)
COLD_SERVICE = {"warmup_per_s": 4, "warmup": "3000ms"}
CONNECT_TIMEOUT_S = 0.4
# The objective of the route, 300 ms, less the service time that these servers show.
MAX_WAIT_S = 0.21
RETRY_AFTER = re.compile(rb"Retry-After(?:-Ms)?: ([0-9.]+)")


class DarkServers(AnsweringServers):
    """Servers that can be unreachable for a time.

    :ivar dark: numbers of servers at which connections are not answered.
    """

    def __init__(self, world):
        super().__init__(world)
        self.dark = set()

    def step(self):
        attempts = self._world.reactor.tcpClients
        for attempt in list(attempts):
            host, _, factory = attempt[:3]
            if int(host.rpartition(".")[2]) in self.dark:
                attempts.remove(attempt)
                self._world.reactor.callLater(
                    CONNECT_TIMEOUT_S,
                    factory.clientConnectionFailed,
                    None,
                    Failure(error.TimeoutError()),
                )
        super().step()

    def go_dark(self, numbers):
        """Ends all connections of servers and lets new ones time out."""
        self.dark = set(numbers)
        for connection in list(self._connections):
            peer, number = connection
            if number in self.dark:
                self._connections.remove(connection)
                peer.close(LOST)


def deployment(*, vms=8, keyed=False, per_s=120.0, cold=True):
    """Returns entry VMs and servers whose service bounds cold servers."""
    deployment = Deployment(
        vms=vms,
        keyed=keyed,
        per_s=per_s,
        service_options=COLD_SERVICE if cold else None,
    )
    deployment.servers = DarkServers(deployment.world)
    for node in deployment.nodes:
        node.settings.cold_ratio, node.settings.cold_slack = 1.5, 8
        # All requests of these tests are alike, and servers end while they run them.
        node.settings.never_held_back = ("all",)
        node.settings_changed()
    return deployment


def write_entry(world, number, sequence, warmup_s, **options):
    """Writes a later entry of a server."""
    world.store.put(
        f"servers/s-{number}",
        registration(
            "stock",
            number,
            seq=sequence,
            warmup_left=f"{round(warmup_s * 1000)}ms",
            slots=8,
            **options,
        ),
    )


def arrivals(deployment, number, since):
    """Returns the most arrivals at a server in any second after a time."""
    times = deployment.servers.arrivals_by_number.get(number, ())
    return most_in_window([time for time in times if time >= since])


class TestColdServersGetTooMuch:
    @pytest.mark.parametrize("keyed", [True, False])
    def test_sum_of_all_vms_keeps_to_the_bound(self, keyed):
        cold = self.turn_cold(keyed)
        assert max(cold.most) <= D1_BOUND
        # Guards against servers that get nothing.
        assert min(cold.rates) >= 1.0

    def test_test_finds_a_bound_that_each_vm_counts_by_itself(self, monkeypatch):
        monkeypatch.setattr(coldlimits, "may_send", send_as_if_alone)
        monkeypatch.setattr(Coldness, "may_send_alone", lambda *args: True)
        cold = self.turn_cold(False, cut=True)
        assert max(cold.most) > D1_BOUND

    def test_sum_keeps_to_the_bound_while_no_vm_reaches_another(self):
        cold = self.turn_cold(False, cut=True)
        assert max(cold.most) <= D1_BOUND

    def turn_cold(self, keyed, *, cut=False):
        cold = deployment(vms=24 if cut else 8, keyed=keyed)
        cold.run(1.0)
        for number in SERVERS:
            write_entry(cold.world, number, 2, 20.0 if cut else 3.0)
        cold.run(0.6)
        if cut:
            for node in cold.nodes:
                cold.cut(node)
        since = cold.now()
        cold.run(5.0 if cut else 2.4)
        cold.most = [arrivals(cold, number, since) for number in SERVERS]
        cold.rates = [cold.rate(number, since) for number in SERVERS]
        return cold

    def test_they_serve_as_before_once_they_are_warm(self):
        cold = self.turn_cold(False)
        cold.run(1.0)
        answered = len(cold.answers)
        cold.run(2.0)
        assert cold.outcomes(answered)[200] >= 0.97 * 2.0 * 120

    def test_waiting_requests_are_refused_at_once_with_a_hint(self):
        # The load and bounds are those of the same test for limits that servers name.
        cold = deployment(vms=4, keyed=True, per_s=60.0)
        cold.run(1.0)
        for number in SERVERS:
            write_entry(cold.world, number, 2, 4.6)
        cold.run(0.6)
        answered = len(cold.answers)
        cold.run(4.0)
        refused = [a for a in cold.answers[answered:] if b" 503 " in a[0][:20]]
        assert len(refused) >= 0.7 * 4.0 * 60
        assert all(b"Retry-After" in data for data, _ in refused)
        assert sum(wait_s < 0.05 for _, wait_s in refused) >= 0.9 * len(refused)

    def test_warm_servers_are_used_first(self):
        cold = deployment(per_s=60.0)
        cold.run(1.0)
        write_entry(cold.world, 11, 2, 3.0)
        cold.run(0.6)
        answered, since = len(cold.answers), cold.now()
        cold.run(2.0)
        assert cold.outcomes(answered)[200] >= 0.97 * 2.0 * 60
        assert cold.rate(11, since) <= 1.0

    def test_permits_of_servers_in_use_are_asked_for(self):
        # Guards against permits of servers of an evacuated zone, which nobody can use.
        cold = deployment(vms=2, per_s=4.0)
        for number in SERVERS:
            zone = "z9" if number > 11 else "z1"
            write_entry(cold.world, number, 2, 30.0, zone=zone)
        cold.world.store.put("op/evacuate/z9", b"{}")
        cold.run(2.0)
        since = cold.now()
        cold.run(6.0)
        assert cold.rate(11, since) >= 0.7 * 3.03


class TestServersThatReturnFromAnOutage:
    @pytest.mark.parametrize("keyed", [True, False])
    def test_get_one_request_at_a_time_from_each_vm_until_it_has_an_answer(self, keyed):
        assert self.most_in_flight(keyed) == 1

    def test_test_finds_vms_that_send_as_usual(self, monkeypatch):
        monkeypatch.setattr(Coldness, "sends_one", lambda *args: False)
        assert self.most_in_flight(False) > 1

    @pytest.mark.parametrize("keyed", [True, False])
    def test_serve_as_before_at_once_and_nobody_is_limited(self, keyed):
        outage = self.outage(keyed)
        outage.servers.dark.clear()
        outage.run(2.5)
        answered = len(outage.answers)
        outage.run(1.5)
        assert outage.outcomes(answered)[200] >= 0.97 * 1.5 * 160
        for node in outage.nodes:
            assert node.coldness.counts_by_service() == {}

    def outage(self, keyed):
        outage = deployment(vms=4, keyed=keyed, per_s=160.0)
        outage.run(1.0)
        outage.servers.go_dark(SERVERS)
        outage.run(3.0)
        return outage

    def most_in_flight(self, keyed):
        """Returns the most requests of a VM at a server before its first answer."""
        outage = self.outage(keyed)
        servers = [
            server
            for node in outage.nodes
            for server in node.dispatcher("stock").servers.values()
        ]
        assert all(server.is_failing for server in servers)
        # Attempts that were under way when the second one failed are over.
        outage.run(0.5)
        outage.servers.dark.clear()
        outage.servers.work_s = lambda: 0.5
        counts = {server: server.answer_count for server in servers}
        most = 0
        for _ in range(300):
            outage.run(0.01)
            most = max(
                most,
                *(
                    s.in_flight
                    for s, count in counts.items()
                    if s.answer_count == count
                ),
                0,
            )
        return most


class TestPermitsThatAreWasted:
    def test_cold_owner_serves_what_its_limit_allows_promptly(self):
        cold = deployment(vms=8, keyed=True, per_s=3.0)
        key_map = cold.nodes[0].key_maps.by_service["stock"]
        key = next(f for f, _, o in key_map.ranges() if o.server_id == "s-11")
        cold.next_key = lambda: key
        answered, since = self.turn_cold(cold)
        cold.run(6.0)
        served = [wait_s for data, wait_s in cold.answers[answered:] if ok(data)]
        assert len(served) >= 0.95 * 3.0 * 6.0
        assert sum(wait_s < 0.2 for wait_s in served) >= 0.9 * len(served)
        # All keys have one owner, and no other server has answered.
        assert max(cold.rate(number, since) for number in SERVERS) >= 0.95 * 3.0

    def test_requests_at_random_times_get_what_the_limit_has_left(self):
        assert self.served_of_possible() >= 0.9

    def test_test_finds_renewals_that_count(self, monkeypatch):
        def count_call(self, service, instance):
            if self._issuer is not None:
                self._issuer.count_call((service, instance))

        monkeypatch.setattr(RateLimits, "count_call", count_call)
        assert self.served_of_possible() < 0.9

    def served_of_possible(self):
        """Returns how much is served of what one queue for all VMs could serve."""
        cold = deployment(vms=8, keyed=True, per_s=9.0)
        key_map = cold.nodes[0].key_maps.by_service["stock"]
        arrived_by_owner, next_key = {}, cold.next_key

        def key():
            key = next_key()
            owner = key_map.owner(key).server_id
            arrived_by_owner.setdefault(owner, []).append(cold.now())
            return key

        answered, _ = self.turn_cold(cold)
        cold.next_key = key
        cold.run(12.0)
        per_s = cold_limit(4.0, 1.5, 8).per_s
        possible = sum(most_served(times, per_s) for times in arrived_by_owner.values())
        return sum(ok(data) for data, _ in cold.answers[answered:]) / possible

    def test_requests_beyond_the_limit_get_a_true_hint_at_once(self):
        cold = deployment(vms=8, keyed=True, per_s=18.0)
        answered, _ = self.turn_cold(cold)
        cold.run(8.0)
        refused = [(d, wait_s) for d, wait_s in cold.answers[answered:] if not ok(d)]
        assert len(refused) >= 0.3 * 8.0 * 18.0
        assert sum(wait_s < 0.05 for _, wait_s in refused) >= 0.9 * len(refused)
        hints = sorted(float(RETRY_AFTER.search(data)[1]) for data, _ in refused)
        # Permits come every third of a second, and few requests wait for them.
        print(hints[0], hints[len(hints) // 2], hints[-1])
        assert hints[0] > 0 and hints[-1] <= 1.5

    def test_no_permits_are_asked_for_while_warm_servers_are_left(self, monkeypatch):
        cold = deployment(per_s=60.0)
        cold.run(1.0)
        write_entry(cold.world, 11, 2, 8.0)
        cold.run(0.6)
        asked = []
        monkeypatch.setattr(PermitHolder, "ask", lambda *args: asked.append(args))
        answered = len(cold.answers)
        cold.run(4.0)
        assert cold.outcomes(answered)[200] >= 0.97 * 4.0 * 60
        assert asked == []

    def turn_cold(self, cold):
        """Makes all servers cold; returns the number of answers, and the time."""
        cold.run(1.0)
        for number in SERVERS:
            write_entry(cold.world, number, 2, 20.0)
        cold.run(0.6)
        return len(cold.answers), cold.now()


def most_served(times, per_s):
    """Returns how many requests one queue could serve without a wait beyond MAX_WAIT_S.

    :param times: when the requests for a server arrive.
    :param per_s: limit of the server.
    """
    served, next_at = 0, 0.0
    for now in times:
        starts_at = max(now, next_at)
        if starts_at - now <= MAX_WAIT_S:
            served += 1
            next_at = starts_at + 1 / per_s
    return served


def ok(data):
    """Returns whether an answer is a 200."""
    return data.startswith(b"HTTP/1.1 200")


class One:
    """One entry VM and its only server, of a service that bounds cold servers."""

    def __init__(self, *, cold=True, vms=1):
        self.world = World()
        service = {"health_path": "/h", "max_conns": 110}
        if cold:
            service |= COLD_SERVICE
        self.world.store.put(
            "op/config",
            configuration(
                routes={"lookup": route("stock")}, services={"stock": service}
            ),
        )
        self.world.add_server("stock", 11, slots=8)
        self.nodes = [
            self.world.add_node(f"front-{n}", number=n, zone=f"z{n}")
            for n in range(1, vms + 1)
        ]
        self.node = self.nodes[0]
        for node in self.nodes:
            node.settings.cold_ratio, node.settings.cold_slack = 1.5, 8
        self.world.advance(5.0)

    def server(self, node=None):
        return (node or self.node).dispatcher("stock").servers["s-11"]

    def is_cold(self, node=None):
        return self.server(node).limit.per_s is not None

    def write(self, sequence, warmup_s, **options):
        write_entry(self.world, 11, sequence, warmup_s, **options)
        self.world.advance(0.6)

    def fail(self, *, connected=False):
        self.server().record_unreachable(connected=connected)

    def answer(self, *, warmup=None, sent_at=None):
        now = self.world.reactor.seconds()
        headers = [] if warmup is None else [(b"warmup-ms", warmup)]
        self.node.coldness.server_answered(
            "stock",
            self.server(),
            Answer(status=200, headers=headers, body=b""),
            now if sent_at is None else sent_at,
        )


class TestColdnessThatIsNotLearned:
    def test_entry_begins_renews_and_ends_it(self, caplog):
        one = One()
        with caplog.at_level(logging.INFO):
            one.write(2, 1.0)
            assert one.is_cold()
            one.write(3, 3.0)
            one.world.advance(1.5)
            assert one.is_cold()
            one.write(4, 0.0)
            assert not one.is_cold()
        lines = [r.getMessage() for r in caplog.records if ": cold" in r.getMessage()]
        assert [line.split(" id=")[0] for line in lines] == [
            "servers: cold begins",
            "servers: cold ends",
        ]

    def test_it_ends_without_a_further_entry(self):
        one = One()
        one.write(2, 3.0)
        one.world.advance(2.0)
        assert one.is_cold()
        one.world.advance(1.5)
        assert not one.is_cold()

    def test_new_lifetime_is_cold_before_it_gets_a_request(self):
        one = One()
        one.write(1, 3.0, born=2)
        assert one.is_cold()

    def test_zone_that_returns_is_cold_until_a_later_entry(self):
        one = One()
        one.node.coldness.zone_returned("elsewhere")
        assert not one.is_cold()
        one.node.coldness.zone_returned("poa")
        assert one.is_cold()
        # Written before the end of the evacuation.
        one.write(2, 0.0)
        assert one.is_cold()
        one.world.advance(ENTRY_DELAY_S)
        one.write(3, 0.0)
        assert not one.is_cold()

    def test_zone_that_returns_is_cold_for_the_warm_up_without_an_entry(self):
        one = One()
        one.node.coldness.zone_returned("poa")
        one.world.advance(2.9)
        assert one.is_cold()
        one.world.advance(0.3)
        assert not one.is_cold()

    def test_unreachable_server_is_not_limited(self):
        one = One(vms=2)
        for _ in range(5):
            one.fail()
            one.fail(connected=True)
        one.world.advance(1.0)
        assert not any(one.is_cold(node) for node in one.nodes)

    def test_single_failure_to_connect_changes_nothing(self):
        one = One()
        one.fail()
        one.fail(connected=True)
        assert not one.node.coldness.sends_one(one.server())
        one.fail()
        assert one.node.coldness.sends_one(one.server())

    def test_entry_with_less_time_than_known_shortens_nothing(self):
        one = One()
        one.write(2, 3.0)
        one.write(3, 0.5)
        one.world.advance(1.0)
        assert one.is_cold()
        one.world.advance(1.5)
        assert not one.is_cold()

    @pytest.mark.parametrize(("deadline_ms", "fails"), [(50, False), (450, True)])
    def test_connection_without_time_to_open_is_no_failure(self, deadline_ms, fails):
        # Guards against a healthy server that gets one request at a time because of
        # callers with short deadlines.
        one = One()
        for _ in range(2):
            one.world.caller(one.node).send(request("GET", deadline=deadline_ms))
            one.world.advance(0.5)
        assert one.node.coldness.sends_one(one.server()) == fails

    def test_answer_names_the_time(self):
        one = One()
        one.answer(warmup=b"1500")
        one.world.advance(1.4)
        assert one.is_cold()
        one.answer(warmup=b"0")
        assert not one.is_cold()

    def test_unusable_time_is_logged_once(self, caplog):
        one = One()
        for _ in range(3):
            one.answer(warmup=b"-1")
        assert caplog.text.count("warm-up not usable") == 1
        assert not one.is_cold()

    def test_lower_of_both_limits_counts(self):
        one = One()
        limit = one.server().limit
        limit.learn(2.0, 0.0)
        one.write(2, 3.0)
        assert limit.per_s == 2.0
        limit.learn(9.0, 1.0)
        assert limit.per_s == pytest.approx(3.03, abs=0.01)
        one.world.advance(4.0)
        assert limit.per_s == 9.0


class TestOtherVmsThatDoNotKnow:
    def test_are_told_of_an_answer(self):
        one = One(vms=3)
        one.answer(warmup=b"3000")
        one.world.advance(0.1)
        assert all(one.is_cold(node) for node in one.nodes)
        one.world.advance(3.1)
        assert not any(one.is_cold(node) for node in one.nodes)

    def test_are_told_of_an_entry_that_they_do_not_get(self):
        one = One(vms=3)
        cut = next(node for node in one.nodes if not node.control.is_leader)
        cut.faults(STORE).cut = True
        one.write(2, 3.0)
        assert one.is_cold(cut)

    def test_late_message_does_not_undo_a_later_entry(self):
        one = One()
        one.write(5, 0.0)
        instance = one.server().record.server_instance
        one.node.coldness.peer_cold("stock", instance, 2.0, 4)
        assert not one.is_cold()
        one.node.coldness.peer_cold("stock", instance, 2.0, 5)
        assert one.is_cold()

    def test_controller_that_does_not_know_gives_no_more_than_the_limit(self):
        one = One(vms=2)
        leader = next(node for node in one.nodes if node.control.is_leader)
        other = next(node for node in one.nodes if node is not leader)
        other.coldness._begin(
            other.coldness._service("stock"),
            one.server(other),
            one.world.reactor.seconds() + 3.0,
            "peer",
        )
        other.rate_limits.ask("stock", one.server(other), {1: 50})
        one.world.advance(0.1)
        assert one.is_cold(leader)
        holder = one.server(other).permits
        assert holder._count(one.world.reactor.seconds()) <= 1


class TestVmThatTheControllerDidNotAnswer:
    def test_asks_again_although_it_refuses_all_requests(self, monkeypatch):
        # Guards against a VM that refuses all requests until the server is warm.
        one = One(vms=2)
        servers = AnsweringServers(one.world)
        vm = next(node for node in one.nodes if not node.control.is_leader)
        monkeypatch.setattr(vm.registry, "is_first_for", lambda value: False)
        one.write(2, 30.0)
        transport, vm.datagrams.transport = (
            vm.datagrams.transport,
            DiscardingTransport(),
        )
        self.send(one, vm, servers, seconds=3)
        assert not servers.arrivals_by_number
        vm.datagrams.transport = transport
        self.send(one, vm, servers, seconds=3)
        assert one.is_cold(vm)
        assert len(servers.arrivals_by_number[11]) >= 3

    def send(self, one, vm, servers, *, seconds):
        """Sends two requests a second to a VM."""
        for number in range(2 * seconds):
            request_id = f"r{one.world.reactor.seconds()}-{number}"
            one.world.caller(vm).send(request("GET", request_id=request_id))
            for _ in range(50):
                one.world.advance(0.01)
                servers.step()


class TestZoneThatTurnsColdAtOnce:
    def test_vms_are_told_in_few_datagrams(self, monkeypatch):
        one = One(vms=2)
        leader = next(node for node in one.nodes if node.control.is_leader)
        for number in range(20, 140):
            one.world.add_server("stock", number, warmup_left="3000ms")
        sent = []
        write = leader.datagrams.transport.write
        monkeypatch.setattr(
            leader.datagrams.transport,
            "write",
            lambda data, address: (sent.append(data), write(data, address)),
        )
        other = next(node for node in one.nodes if node is not leader)
        other.faults(STORE).cut = True
        one.world.advance(0.7)
        assert leader.coldness.counts_by_service() == {"stock": 120}
        assert len([data for data in sent if len(data) > 100]) <= 10
        assert max(map(len, sent)) <= 1_200


class TestUnreadableMessages:
    @pytest.mark.parametrize(
        "rest",
        [
            [],
            [[]],
            [[["s-11"]]],
            [[["s-11", 1, 2]]],
            [[["s-11", 1, "x", 3]]],
            [[["s-11", float("inf"), 1, 3]]],
            [[["s-11", 1, float("nan"), 3]]],
            [None],
            [[["s-11", 1, None, 3]]],
            [[["s-11", 1, 1e300, 10**30]]],
        ],
    )
    def test_stop_nothing_and_make_nothing_cold_for_long(self, rest):
        one = One()
        data = cbor2.dumps([KIND_COLD, "stock", *rest])
        one.node.datagrams.datagramReceived(data, ("10.0.1.2", 9000))
        one.world.advance(MAX_WARMUP_S + 0.2)
        assert not one.is_cold()

    @given(
        st.lists(
            st.recursive(
                st.none() | st.integers() | st.floats() | st.text() | st.binary(),
                lambda values: st.lists(values) | st.dictionaries(st.text(), values),
                max_leaves=8,
            ),
            max_size=2,
        )
    )
    @settings(derandomize=True, deadline=None)
    def test_any_content_stops_nothing(self, rest):
        def receive(*args):
            pass

        datagrams = Datagrams(
            on_load=receive,
            on_owners=receive,
            on_allowances=receive,
            on_suspect=receive,
            on_leaving=receive,
            on_shares=receive,
            on_demand=receive,
            on_map_notice=receive,
            on_map_receipt=receive,
            rate_limits=SimpleNamespace(peers_cold=receive, permits_requested=receive),
        )
        for kind in (KIND_COLD, KIND_PERMIT_REQUEST):
            data = cbor2.dumps([kind, "stock", *rest])
            datagrams.datagramReceived(data, ("10.0.0.1", 1))


class TestServicesWithoutABound:
    def test_nothing_is_sent_or_kept(self, monkeypatch):
        sent = []
        monkeypatch.setattr(Datagrams, "send_cold", lambda *args: sent.append(args))
        one = One(cold=False, vms=2)
        one.write(2, 3.0)
        one.fail()
        one.fail()
        assert not one.node.coldness.sends_one(one.server())
        one.node.coldness.zone_returned("poa")
        one.answer(warmup=b"1500")
        instance = one.server().record.server_instance
        one.node.coldness.peer_cold("stock", instance, 2.0, 9)
        assert not any(one.is_cold(node) for node in one.nodes)
        assert sent == [] and one.node.coldness.counts_by_service() == {}


class TestVmThatKnowsOnlyItself:
    def test_sends_nothing_before_its_view_is_complete(self):
        one = One()
        late = one.world.add_node("front-9", number=9, start=False)
        late._configuration_changed("op/config", one.node.view.items["op/config"])
        item = one.node.view.items["servers/s-11"]
        late._discovery._server_changed("servers/s-11", item)
        server = one.server(late)
        assert not late.dispatcher("stock").selection.has_capacity(server)
        late.start()
        one.world.advance(3.0)
        assert late.dispatcher("stock").selection.has_capacity(one.server(late))


class TestDecodedWarmUp:
    @pytest.mark.parametrize(
        ("values", "seconds"),
        [([], None), ([b"0"], 0.0), ([b" 1500 "], 1.5), ([b"x", b"20"], 0.02)],
    )
    def test_value(self, values, seconds):
        assert decode_warmup_s([(b"warmup-ms", v) for v in values]) == seconds

    @pytest.mark.parametrize("value", [b"", b"-1", b"1.5", b"nan", b"9" * 40, b"\xff"])
    def test_unusable_value_is_reported(self, value):
        with pytest.raises(DecodeError):
            decode_warmup_s([(b"warmup-ms", value)])

    def test_long_time_is_not_believed(self):
        assert decode_warmup_s([(b"warmup-ms", b"999999999")]) == MAX_WARMUP_S


class TestKeysOfColdOwners:
    def rebalanced(self, *, keeps_keys, per_s=3.0):
        """Returns the load of a cold owner of 7 requests a second, and transfers."""
        cold = placement.Candidate(
            server_instance=("s-1", 1),
            slots=6,
            latency_s=0.4,
            limit_per_s=per_s,
            keeps_keys=keeps_keys,
        )
        warm = [
            placement.Candidate(server_instance=(f"s-{n}", 1), slots=6, latency_s=0.4)
            for n in (2, 3, 4)
        ]
        key_map = placement.initial_map([cold, *warm], 1)
        rates = {}
        for first, last, owner in key_map.ranges():
            buckets = range(
                first // placement.KEYS_PER_BUCKET, last // placement.KEYS_PER_BUCKET
            )
            total = 7.0 if owner.server_id == "s-1" else 4.0
            for bucket in buckets:
                rates[bucket] = total / len(buckets)
        transfers = placement.rebalance(key_map, [cold, *warm], rates)
        return cold.load, transfers

    def test_stay_for_a_spell_that_ends_soon(self):
        _, transfers = self.rebalanced(keeps_keys=True)
        assert transfers == []

    def test_leave_as_far_as_their_load_is_beyond_the_limit(self):
        load, transfers = self.rebalanced(keeps_keys=False)
        assert transfers and load <= 3.0
        assert all(transfer.to != ("s-1", 1) for transfer in transfers)

    def test_length_of_a_spell(self):
        one = One()
        limit = one.server().limit
        one.write(2, 3.0)
        now = one.world.reactor.seconds()
        assert not limit.keeps_keys(now)
        assert limit.keeps_keys(now + 1.5)
