"""Answers that arrive twice, unusable messages and unexpected errors."""

from __future__ import annotations

import contextlib
import json
import zlib
from types import SimpleNamespace

import cbor2
import pytest
from entry_fakes import (
    ServerSocket,
    World,
    answer,
    configuration,
    registration,
    request,
)
from hypothesis import given, settings
from hypothesis import strategies as st
from test_entry_requests import ORDER, status_of
from twisted.internet import defer

from briarspoke.entry import relays, reports
from briarspoke.errors import BriarspokeError
from briarspoke.keyspace import granter
from briarspoke.platform import documents, grants, keyvalue

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["1.1.1.1:99999", "1..2:80", "10.0.0.1:80", "ready", "5s", "r7"]),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner)
    ),
    max_leaves=10,
)
CBOR_DATA = st.binary(max_size=60) | JSON.map(cbor2.dumps)


@pytest.fixture
def world():
    world = World()
    world.store.put("op/config", configuration())
    world.add_server("orders", 21)
    world.add_server("stock", 11)
    world.node = world.add_node()
    world.advance(3.0)
    return world


def serve_once(world, **options):
    """Passes one request through and returns (caller, server), connections kept."""
    caller = world.caller(world.node)
    caller.send(request(**options))
    server, _ = world.accept()
    server.take()
    server.send(answer())
    assert status_of(caller.take()) == 200
    return caller, server


def start(coroutine):
    """Starts a coroutine; returns a list that gets its result."""
    results = []
    defer.ensureDeferred(coroutine).addCallback(results.append)
    return results


class TestAnswerThatIsGivenUp:
    def test_error_tells_how_much_had_arrived(self, world):
        # Guards against a log in which a silent connection and one whose answer is
        # arriving look the same.
        calls = []
        call = world.http_client().call(b"GET", "/watch", timeout_s=0.6)
        call.addCallback(calls.append)
        server, _ = world.accept()
        server.send(b"HTTP/1.1 200 OK\r\n")
        world.advance(0.61)
        assert [(call.failure, call.received_bytes) for call in calls] == [
            ("timeout", 17)
        ]


class TestSecondCopies:
    @pytest.mark.parametrize("options", [ORDER, {}], ids=["order", "lookup"])
    def test_copy_before_the_next_request_closes_the_connection(self, world, options):
        _, server = serve_once(world, **options)
        server.send(answer())
        assert server.socket.aborted
        caller = world.caller(world.node)
        caller.send(request(**{**options, "request_id": "r2"}))
        fresh, _ = world.accept()
        fresh.send(answer(request_id="r2", body=b"own"))
        assert caller.take().endswith(b"own")

    @pytest.mark.parametrize(
        "copy",
        [
            answer(),
            answer(503, extra="Not-Executed: 1", signature=None),
            b"HTTP/1.1 100 Continue\r\n\r\n" + answer(),
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        ],
        ids=["answer", "refusal", "interim", "chunked"],
    )
    @pytest.mark.parametrize("cut", [0, 20], ids=["at-once", "in-two-parts"])
    def test_copy_after_the_next_request_was_written(self, world, copy, cut):
        # Guards against an answer, or a promise that nothing ran, that belongs to the
        # request before.
        _, server = serve_once(world, **ORDER)
        caller = world.caller(world.node)
        caller.send(request(**{**ORDER, "request_id": "r2"}))
        assert b"r2" in server.take()
        if cut:
            server.send(copy[:cut])
        server.send(copy[cut:])
        assert caller.take() == b""
        server.send(answer(request_id="r2", body=b"own"))
        assert caller.take().endswith(b"own")
        assert not server.protocol.reusable

    @pytest.mark.parametrize("status", [200, 503])
    def test_copy_without_identifier_is_not_taken_for_an_answer(self, world, status):
        # Guards against an answer that does not say to which request it belongs, on a
        # connection that has had another request.
        _, server = serve_once(world, **ORDER)
        caller = world.caller(world.node)
        caller.send(request(**{**ORDER, "request_id": "r2"}))
        server.take()
        extra = "Not-Executed: 1\r\n" if status == 503 else "Response-Signature: s\r\n"
        server.send(f"HTTP/1.1 {status} X\r\n{extra}Content-Length: 0\r\n\r\n".encode())
        assert status_of(caller.take()) == 502
        assert server.socket.aborted

    def test_request_without_identifier_gets_its_own_connection(self, world):
        _, server = serve_once(world, **ORDER)
        caller = world.caller(world.node)
        anonymous = request(**ORDER).replace(b"Request-Id: r1\r\n", b"")
        caller.send(anonymous)
        assert server.take() == b""
        fresh, _ = world.accept()
        fresh.send(answer(body=b"own"))
        assert caller.take().endswith(b"own")

    def test_pipelined_requests_get_their_own_answers(self, world):
        caller, server = serve_once(world, **ORDER)
        caller.send(
            request(**{**ORDER, "request_id": "r2"})
            + request(**{**ORDER, "request_id": "r3"})
        )
        server.send(answer())
        other, _ = world.accept()
        other.send(answer(request_id="r3", body=b"third"))
        assert caller.take() == b""
        server.send(answer(request_id="r2", body=b"second"))
        got = caller.take()
        assert got.index(b"second") < got.index(b"third")

    def test_change_of_ownership_uses_new_connections(self, world):
        # Guards against a release that is taken as confirmed by a second copy of the
        # answer to a renewal.
        client = world.http_client()
        keys = {"server_id": "s-1", "first": 0, "last": 9, "fence": 3}
        done = start(grants.grant(client, **keys, hold_s=4.0))
        server, _ = world.accept()
        server.take()
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert done[0].accepted
        released = start(grants.release(client, **keys))
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert not released
        fresh, _ = world.accept()
        fresh.send(b"HTTP/1.1 200 OK\r\nHandover: h\r\nContent-Length: 0\r\n\r\n")
        assert released[0].handover == "h"


class TestCallsToOwners:
    """Guards against grants and releases that the next server at an address takes."""

    @pytest.mark.parametrize("call", [grants.grant, grants.release])
    def test_call_names_its_server(self, world, call):
        client = world.http_client()
        options = {"hold_s": 4.0} if call is grants.grant else {}
        keys = {"server_id": "s-1", "first": 0, "last": 9, "fence": 3}
        answers = start(call(client, **keys, **options))
        server, _ = world.accept()
        assert b"\r\ntarget-instance: s-1\r\n" in server.take().lower()
        server.send(b"HTTP/1.1 421 X\r\nInstance-Id: s-2\r\nContent-Length: 0\r\n\r\n")
        assert answers[0].by_other_server and answers[0].answering_id == b"s-2"
        assert answers[0].accepted is None


class TestDecoders:
    """Unusable data raises an error that the callers of the decoder expect."""

    @given(value=JSON)
    @settings(derandomize=True, deadline=None)
    def test_any_json_as_registration(self, value):
        with_fields = {**json.loads(registration("stock", 1))}
        if isinstance(value, dict):
            with_fields.update(value)
        else:
            with_fields["address"] = value
        for body in (value, with_fields):
            try:
                record = documents.decode_server("servers/s-1", json.dumps(body))
            except BriarspokeError:
                continue
            assert 0 < record.port < 65536
            assert record.slots * 2.0 / 5 > 0

    @pytest.mark.parametrize(
        "changes",
        [
            {"address": "10.0.0.1:99999"},
            {"address": "10.0.0.1:0"},
            {"address": "1..2.3.4:80"},
            {"address": "999.0.0.1:80"},
            {"slots": True},
            {"slots": 10**400},
            {"born": True},
            {"born": 1.5},
        ],
        ids=str,
    )
    def test_unusable_registrations_name_no_server(self, changes):
        # Guards against a connection attempt that raises with a slot already taken.
        with pytest.raises(BriarspokeError):
            documents.decode_server("servers/s-1", registration("stock", 1, **changes))

    @pytest.mark.parametrize(
        "path",
        [
            ("routes", "lookup", "traffic_split"),
            ("routes", "lookup", "traffic_split", 0, "weight"),
            ("routes", "lookup"),
            ("services", "stock"),
            ("limits", "max_body_bytes"),
        ],
        ids=str,
    )
    @pytest.mark.parametrize("value", [None, True, "x", [], {}, 1e400], ids=repr)
    def test_unusable_configurations_raise_decode_errors(self, path, value):
        # Guards against errors of other kinds, which nobody expects there.
        body = json.loads(configuration())
        body["routes"]["lookup"]["traffic_split"] = [{"service": "stock", "weight": 1}]
        target = body
        for part in path[:-1]:
            target = target[part]
        target[path[-1]] = value
        with pytest.raises(BriarspokeError):
            documents.decode_configuration(json.dumps(body).encode())

    @given(data=st.binary(max_size=80) | JSON.map(lambda v: json.dumps(v).encode()))
    @settings(derandomize=True, deadline=None)
    def test_any_bytes_as_configuration(self, data):
        with pytest.raises(BriarspokeError):
            documents.decode_configuration(data)

    @given(entry=JSON)
    @settings(derandomize=True, deadline=None)
    def test_any_item_of_the_store(self, entry):
        with pytest.raises(BriarspokeError):
            keyvalue._decode_item(entry, 1)

    @given(data=CBOR_DATA)
    @settings(derandomize=True, deadline=None)
    def test_any_datagram(self, data):
        def receive(*args):
            pass

        datagrams = reports.Datagrams(
            on_load=receive,
            on_owners=receive,
            on_allowances=receive,
            on_suspect=receive,
            on_leaving=receive,
            on_shares=receive,
            on_demand=receive,
            on_map_notice=receive,
            on_map_receipt=receive,
            rate_limits=SimpleNamespace(
                peer_limit=receive, permits_requested=receive, permits_given=receive
            ),
        )
        datagrams.datagramReceived(data, ("10.0.1.2", 9000))

    @given(data=CBOR_DATA)
    @settings(derandomize=True, deadline=None)
    def test_any_frame_of_a_relay(self, data):
        for frame in (data, zlib.compress(data)):
            with contextlib.suppress(BriarspokeError):
                relays._decode(frame)

    @given(data=CBOR_DATA)
    @settings(derandomize=True, deadline=None)
    def test_any_ping_of_a_follower(self, data):
        view = SimpleNamespace(listeners=[], reachable=False, revision=None)
        link = relays.Relay(view=view).buildProtocol(None)
        link.makeConnection(ServerSocket())
        link.dataReceived(len(data).to_bytes(4) + data)


class TestUnexpectedErrors:
    def test_periodic_work_goes_on(self, world, monkeypatch):
        # Guards against a loop that ends for good after one error.
        node = world.node
        dispatcher = node.dispatcher("stock")
        original = dispatcher.tick
        monkeypatch.setattr(dispatcher, "tick", lambda now: 1 / 0)
        world.advance(0.3)
        ticks = []
        monkeypatch.setattr(
            dispatcher, "tick", lambda now: (ticks.append(now), original(now))
        )
        world.advance(0.3)
        assert ticks

    def test_grants_are_renewed_after_an_error_of_the_controller(
        self, world, monkeypatch
    ):
        control = world.node.control
        original = control._tick
        monkeypatch.setattr(control, "_tick", lambda: 1 / 0)
        world.advance(0.5)
        monkeypatch.setattr(control, "_tick", original)
        world.advance(8.0)
        assert world.servers["10.0.9.11", 80].holds(7)

    def test_store_is_watched_after_an_unusable_change(self, world, monkeypatch):
        # Guards against a VM that never hears of a change again.
        original = keyvalue.KeyValueClient.watch
        calls = []

        async def broken(*args, **options):
            calls.append(args)
            raise AttributeError("unexpected")

        monkeypatch.setattr(keyvalue.KeyValueClient, "watch", broken)
        world.store.put("op/config", configuration(5))
        world.advance(4.0)
        assert calls
        monkeypatch.setattr(keyvalue.KeyValueClient, "watch", original)
        world.store.put("op/config", configuration(6))
        world.advance(4.0)
        assert world.node.configuration_version == 6

    def test_timers_of_other_requests_go_on(self, world):
        class Broken:
            def on_timer(self, now):
                raise AttributeError("unexpected")

        now = world.node.now()
        world.node.timers.add(now + 0.1, Broken())
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        world.accept()
        world.advance(1.1)
        assert status_of(caller.take()) == 504

    def test_an_answer_that_cannot_be_processed_has_an_unknown_outcome(
        self, world, monkeypatch
    ):
        # Guards against a refusal, at the deadline, of a request that has run.
        dispatcher = world.node.dispatcher("orders")
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        server, _ = world.accept()
        monkeypatch.setattr(dispatcher, "count_answer", lambda *args: 1 / 0)
        server.send(answer())
        assert status_of(caller.take()) == 502

    def test_a_rejection_after_all_servers_left_is_a_refusal(self, world):
        # Guards against a division by the number of servers, and an unknown outcome of
        # a request that the server has not run.
        caller = world.caller(world.node)
        caller.send(request(**ORDER))
        server, _ = world.accept()
        world.store.delete("servers/s-21")
        world.advance(0.5)
        assert not world.node.dispatcher("orders").servers
        server.send(answer(503, extra="Not-Executed: 1", signature=None))
        world.advance(0.5)
        assert status_of(caller.take()) == 503

    def test_renewals_go_on_after_an_unexpected_error(self, world, monkeypatch):
        # Guards against a range that is never renewed again.
        original = granter.grants.grant

        async def broken(*args, **kwargs):
            raise AttributeError("unexpected")

        monkeypatch.setattr(granter.grants, "grant", broken)
        world.advance(1.5)
        monkeypatch.setattr(granter.grants, "grant", original)
        world.advance(8.0)
        assert world.servers["10.0.9.11", 80].holds(7)
