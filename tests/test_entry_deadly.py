"""Requests that end each server that begins to run them."""

from __future__ import annotations

import re

import pytest
from entry_fakes import STORE, request
from estate_fakes import Estate

# A VM has this long to hear of a crash that another VM has seen.
STABLE_WINDOW_S = 3.0
MAX_LATER_ARRIVALS = 3


def later_arrivals(estate):
    """Returns the arrivals beyond the window after the third crash."""
    if len(estate.crashes) < 3:
        return []
    return [t for t in estate.arrivals if t > estate.crashes[2] + STABLE_WINDOW_S]


class TestRequestThatEndsItsServers:
    """Guards against one request that ends server after server."""

    @pytest.mark.parametrize("nodes", [1, 2, 4])
    @pytest.mark.parametrize(
        "options",
        [
            {"path": "/read/deadly"},
            {"path": "/read/deadly?sort=new"},
            {"path": "/order/deadly", "method": "POST", "body": b"x" * 60_000},
        ],
    )
    def test_few_servers_end(self, nodes, options):
        estate = Estate(nodes=nodes)
        estate.repeat(seconds=25.0, **options)
        assert len(later_arrivals(estate)) <= MAX_LATER_ARRIVALS
        assert len(estate.crashes) <= 6

    def test_two_requests_at_once_on_one_connection(self):
        estate = Estate()
        for _ in range(40):
            caller = estate.world.caller(estate.nodes[0])
            caller.send(
                request(path="/read/1", request_id="p1", key=None)
                + request(path="/read/deadly", request_id="p2", key=None)
            )
            estate.advance(0.44)
        assert len(later_arrivals(estate)) <= MAX_LATER_ARRIVALS

    def test_other_requests_are_served_beside_it(self):
        estate = Estate(nodes=4, servers=12)
        ids = []
        for number in range(60):
            estate.send("/read/deadly")
            ids += [estate.send(f"/read/{number}/{part}") for part in range(3)]
            estate.advance(0.44)
        served = sum(estate.status(request_id) == 200 for request_id in ids)
        assert served >= 0.97 * len(ids)

    def test_vm_that_starts_learns_of_it(self):
        estate = Estate(nodes=2)
        # The first trial, on any VM, comes 10 s after the request is held back.
        estate.repeat("/read/deadly", 4.0)
        crashes = len(estate.crashes)
        node = estate.world.add_node("front-poa-9", 9)
        estate.advance(STABLE_WINDOW_S)
        for _ in range(3):
            estate.send("/read/deadly", node)
            estate.advance(0.3)
        assert len(estate.crashes) == crashes

    def test_vm_that_was_cut_off_learns_of_it(self):
        estate = Estate(nodes=3)
        cut_off = estate.nodes[2]
        cut_off.faults(STORE).cut = True
        hear, cut_off.datagrams.datagramReceived = (
            cut_off.datagrams.datagramReceived,
            lambda data, address: None,
        )
        for _ in range(10):
            estate.send("/read/deadly", estate.nodes[0])
            estate.advance(0.44)
        crashes = len(estate.crashes)
        cut_off.faults(STORE).cut = False
        cut_off.datagrams.datagramReceived = hear
        estate.advance(STABLE_WINDOW_S)
        for _ in range(3):
            estate.send("/read/deadly", cut_off)
            estate.advance(0.3)
        assert len(estate.crashes) == crashes


class TestAnswerToTheCaller:
    def test_it_says_what_is_known(self):
        # Guards against a refusal that promises what is not so.
        estate = Estate()
        ids = estate.repeat("/read/deadly", 10.0)
        statuses = [estate.status(request_id) for request_id in ids]
        assert statuses[0] == 502
        assert statuses[-1] == 503
        assert b"3009" in estate.answers[ids[-1]]
        assert re.search(rb"(?i)\r\nretry-after: ", estate.answers[ids[-1]])


class TestNeverHeldBack:
    """Guards against a suspicion that an operator cannot lift without a restart."""

    @pytest.mark.parametrize("names_all", [False, True])
    def test_request_is_sent_again(self, names_all):
        estate = Estate(nodes=1)
        (node,) = estate.nodes
        estate.repeat("/read/deadly", 4.0)
        crashes = len(estate.crashes)
        (suspect,) = node.crashes.suspects.held_back()
        exempt = "all" if names_all else suspect.fingerprint.hex()
        node.settings.never_held_back = [exempt]
        node.settings_changed()
        estate.repeat("/read/deadly", 1.0)
        assert len(estate.crashes) > crashes


class TestInnocentRequests:
    """Guards against requests that are held back for what others have done."""

    def test_hot_path_at_servers_that_crash_for_other_reasons(self):
        estate = Estate(nodes=2, servers=12)
        servers = list(estate.by_address.values())
        ids = []
        for number in range(150):
            for node in estate.nodes:
                ids.append(estate.send("/read/hot", node))
            if number % 6 == 0:
                estate.crash(servers[number // 6 % len(servers)])
            estate.advance(0.1)
        estate.advance(1.0)
        served = sum(estate.status(request_id) == 200 for request_id in ids)
        assert served >= 0.96 * len(ids)
        assert all(estate.status(request_id) == 200 for request_id in ids[-10:])

    def test_other_caller_with_the_same_path(self):
        estate = Estate()
        estate.repeat("/read/deadly", 8.0, cookie="caller=1")
        crashes = len(estate.crashes)
        estate.send("/read/deadly", cookie="caller=2")
        estate.advance(0.5)
        assert len(estate.crashes) > crashes

    def test_lost_answers_are_no_crashes(self):
        estate = Estate(nodes=1)
        serve = estate._serve

        def lose(server, peer):
            if peer.socket.value() and peer in server.peers:
                server.peers.remove(peer)
                peer.reset()

        estate._serve = lose
        estate.repeat("/read/7", 5.0)
        estate._serve = serve
        request_id = estate.send("/read/7")
        estate.advance(0.5)
        assert estate.status(request_id) == 200
