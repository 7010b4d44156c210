"""Servers that say that they take nothing new: they leave, or ask for a pause."""

from __future__ import annotations

import pytest
from entry_fakes import World, answer, configuration, request
from estate_fakes import Estate
from hypothesis import given
from hypothesis import strategies as st

from briarspoke.platform.intake import MAX_PAUSE_S, decode_leaving, decode_pause_s
from briarspoke.platform.values import DecodeError

DRAIN_S = 2.0
# A server may get two requests between this time after it asked and the pause's end.
REACTION_S = 0.5
MAX_ARRIVALS_IN_PAUSE = 2
LEAVING = "Server-Leaving: 1"
UNUSABLE = [b"", b"-1", b"nan", b"inf", b"1e3", b"Fri, 31 Dec 1999 23:59:59 GMT"]


def rejection(pause, request_id="r1"):
    """Returns a 503 of a server that has not run a request and asks for a pause."""
    extra = f"Not-Executed: 1\r\nRetry-After: {pause}"
    return answer(503, request_id=request_id, signature="", extra=extra, body=b"")


class TestDecodedHeaders:
    @pytest.mark.parametrize(
        ("values", "pause_s"),
        [
            ([], None),
            ([b"3"], 3.0),
            ([b" 0.5 "], 0.5),
            ([b"0"], None),
            ([b"1", b"4", b"2"], 4.0),
            ([b"nan", b"2"], 2.0),
            ([b"9" * 500], MAX_PAUSE_S),
        ],
    )
    def test_pause(self, values, pause_s):
        assert decode_pause_s([(b"retry-after", value) for value in values]) == pause_s

    @pytest.mark.parametrize("value", UNUSABLE)
    def test_unusable_pause(self, value):
        with pytest.raises(DecodeError):
            decode_pause_s([(b"retry-after", value)])

    @given(values=st.lists(st.binary(max_size=12), max_size=3))
    def test_any_bytes(self, values):
        headers = [(b"retry-after", value) for value in values]
        try:
            pause_s = decode_pause_s(headers)
        except DecodeError:
            return
        assert pause_s is None or 0 < pause_s <= MAX_PAUSE_S

    @pytest.mark.parametrize(
        ("value", "leaving"),
        [(b"1", True), (b" 1 ", True), (b"0", False), (b"", False)],
    )
    def test_leaving(self, value, leaving):
        assert decode_leaving([(b"server-leaving", value)]) is leaving


class TestLeavingServer:
    """Guards against requests to a server that has said in an answer that it leaves."""

    @pytest.mark.parametrize("nodes", [1, 2])
    def test_server_without_keys(self, nodes):
        estate = Estate(nodes=nodes)
        server = estate.by_address["10.0.9.1"]
        server.reply = lambda request_id: answer(request_id=request_id, extra=LEAVING)
        ids = []
        for number in range(450):
            ids.append(estate.send(f"/read/{number}"))
            estate.advance(0.02)
        first = server.arrivals[0]
        assert not [t for t in server.arrivals if t > first + DRAIN_S]
        served = sum(estate.status(request_id) == 200 for request_id in ids[:-5])
        assert served >= 0.97 * len(ids)

    def test_other_vms_are_told(self):
        estate = Estate(nodes=2)
        server = estate.by_address["10.0.9.1"]
        server.reply = lambda request_id: answer(request_id=request_id, extra=LEAVING)
        first, other = estate.nodes
        for number in range(20):
            estate.send(f"/read/{number}", first)
            estate.advance(0.02)
        arrivals = len(server.arrivals)
        assert arrivals
        for number in range(100):
            estate.send(f"/read/{number}", other)
            estate.advance(0.02)
        assert len(server.arrivals) == arrivals

    def test_late_entry_in_the_store_does_not_bring_it_back(self):
        estate = Estate(nodes=1)
        server = estate.by_address["10.0.9.1"]
        server.reply = lambda request_id: answer(request_id=request_id, extra=LEAVING)
        for number in range(20):
            estate.send(f"/read/{number}")
            estate.advance(0.02)
        arrivals = len(server.arrivals)
        estate.register(server, seq=2)
        estate.register(server, state="draining", seq=3)
        estate.register(server, seq=4)
        estate.advance(1.0)
        for number in range(100):
            estate.send(f"/read/{number}")
            estate.advance(0.02)
        assert arrivals and len(server.arrivals) == arrivals

    def test_next_process_is_used(self):
        # Guards against a server that stays unused after its restart.
        estate = Estate(nodes=2, servers=3)
        estate.service_s = 0.08
        server = estate.by_address["10.0.9.1"]
        server.reply = lambda request_id: answer(request_id=request_id, extra=LEAVING)
        for number in range(20):
            estate.send(f"/read/{number}")
            estate.advance(0.02)
        server.reply = lambda request_id: answer(request_id=request_id)
        estate.crash(server)
        estate.advance(4.0)
        arrivals = len(server.arrivals)
        for number in range(100):
            estate.send(f"/read/{number}")
            estate.advance(0.02)
        assert len(server.arrivals) > arrivals


class TestLeavingOwner:
    def test_its_keys_move_without_an_entry_in_the_store(self):
        # Guards against an owner that gets requests until its entry says `draining`.
        world = World()
        world.store.put("op/config", configuration())
        for number in (11, 12):
            world.add_server("stock", number)
        world.node = world.add_node()
        world.advance(3.0)
        leaving_address = None
        for number in range(300):
            caller = world.caller(world.node)
            caller.send(request(key=7, request_id=f"r{number}"))
            world.advance(0.02)
            if not world.reactor.tcpClients:
                continue
            server, address = world.accept()
            leaving_address = leaving_address or address
            extra = "Connection: close"
            if address == leaving_address:
                extra += "\r\n" + LEAVING
            server.send(answer(request_id=f"r{number}", extra=extra))
            if address != leaving_address:
                assert number * 0.02 < DRAIN_S
                return
        pytest.fail("the key has not moved")


class TestPausedServer:
    """Guards against requests to a server in the pause that it has asked for."""

    def play(self, estate, paused, *, pause=3, seconds=9.0):
        """Lets servers reject all requests; returns ({server: times asked}, ids)."""
        asked = {server: [] for server in paused}
        until = estate.now() + seconds

        def reply_of(server):
            def reply(request_id):
                if estate.now() >= until:
                    return answer(request_id=request_id)
                asked[server].append(estate.now())
                return rejection(pause, request_id)

            return reply

        for server in paused:
            server.reply = reply_of(server)
        ids = []
        for number in range(round((seconds + 6.0) / 0.02)):
            ids.append(estate.send(f"/read/{number}"))
            estate.advance(0.02)
        return asked, ids

    def arrivals_in_pause(self, server, asked, pause):
        return max(
            sum(t + REACTION_S < arrival < t + pause for arrival in server.arrivals)
            for t in asked[server]
        )

    def test_one_of_three_servers(self):
        estate = Estate(nodes=1, servers=3)
        estate.service_s = 0.08
        server = estate.by_address["10.0.9.1"]
        asked, ids = self.play(estate, [server])
        assert self.arrivals_in_pause(server, asked, 3) <= MAX_ARRIVALS_IN_PAUSE
        served = sum(estate.status(request_id) == 200 for request_id in ids[:-5])
        assert served >= 0.97 * len(ids)
        last = asked[server][-1]
        assert any(t > last for t in server.arrivals if t < last + 6.0)

    def test_all_servers(self):
        # Guards against callers that wait for nothing or return all at once.
        estate = Estate(nodes=1, servers=3)
        servers = list(estate.by_address.values())
        asked, ids = self.play(estate, servers)
        for server in servers:
            assert self.arrivals_in_pause(server, asked, 3) <= MAX_ARRIVALS_IN_PAUSE
        refused = [
            estate.answers[request_id]
            for request_id in ids
            if b"2011" in estate.answers.get(request_id, b"")
        ]
        assert len(refused) > 200
        hints = {
            line.split(b":")[1].strip()
            for data in refused
            for line in data.lower().split(b"\r\n")
            if line.startswith(b"retry-after")
        }
        assert len(hints) > 100
        assert estate.status(ids[-20]) == 200

    @pytest.mark.parametrize("pause", ["", "-1", "nan", "soon"])
    def test_unusable_pause_is_ignored(self, pause, caplog):
        estate = Estate(nodes=1, servers=3)
        server = estate.by_address["10.0.9.1"]
        server.reply = lambda request_id: rejection(pause, request_id)
        for number in range(50):
            estate.send(f"/read/{number}")
            estate.advance(0.02)
        assert "servers: pause not usable" in caplog.text
        assert len(server.arrivals) > 1

    def test_answer_to_an_earlier_request_does_not_end_it(self):
        estate = Estate(nodes=1, servers=1)
        (server,) = estate.by_address.values()
        held = []
        server.reply = lambda request_id: held.append(request_id) or b""
        for number in range(2):
            estate.send(f"/read/{number}")
        estate.advance(0.1)
        first, second = server.peers[-2:]
        first.send(rejection(3, held[0]))
        second.send(answer(request_id=held[1]))
        arrivals = len(server.arrivals)
        for number in range(100):
            estate.send(f"/read/later/{number}")
            estate.advance(0.02)
        assert len(server.arrivals) == arrivals
