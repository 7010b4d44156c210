from __future__ import annotations

import types

import pytest
from http_fakes import GET, OK, World, post

from briarspoke import codes
from briarspoke.errors import Refusal
from briarspoke.http import forward
from briarspoke.http.gateways import AVOID_DURATION_S, Gateways
from briarspoke.ownership.document import Partition


def peer(node_id, zone="z1", port=7000):
    return types.SimpleNamespace(
        node_id=node_id, zone=zone, forward_host="127.0.0.1", forward_port=port
    )


def forwarded(request, **service):
    """Sends a request to node n0, which forwards it to its gateway n1.

    :returns: the :class:`World` of n0, the caller, the gateway's side of the
        connection, and the bytes that n0 has sent on it.
    """
    origin = World(peers=[peer("n1")], **service)
    origin.router.node_id = origin.router.gateways.node_id = "n0"
    origin.router.gateways.zone = "z9"
    origin.router.gateways.refresh({})
    origin.router.tick()
    caller = origin.caller()
    caller.send(request)
    side = origin.accept()
    return origin, caller, side, side.socket.take()


class TestSignature:
    def test_change_of_any_signed_part_is_detected(self):
        # Guards against a signature that is replayed with another request.
        _, _, _, sent = forwarded(post(b"x", extra=b"Idempotency-Key: 7\r\n"))
        for old, new in (
            (b"POST", b"PUT"),
            (b"/s/k", b"/s/j"),
            (b" booking ", b" lookup "),
            (b" n1 ", b" n2 "),
            (b"dempotency-key: 7", b"dempotency-key: 8"),
        ):
            assert old in sent
            gateway = World()
            side = gateway.peer()
            side.send(sent.replace(old, new, 1))
            assert side.result()["code"] == codes.PEER_UNAUTHENTICATED.number
            assert not gateway.connects

    def test_missing_signature_is_rejected(self):
        # Guards against requests of callers that can reach the forward port.
        key = forward.forward_key("some cluster key")
        with pytest.raises(Refusal):
            forward.verify({}, key, method=b"GET", target=b"/", node_id="n1")
        gateway = World()
        side = gateway.peer()
        side.send(GET)
        assert side.result()["run"] == "no"

    def test_request_for_another_node_is_rejected(self):
        # Guards against a signed request that is replayed to another entry VM.
        _, _, _, sent = forwarded(GET)
        gateway = World()
        gateway.router.node_id = "n2"
        side = gateway.peer()
        side.send(sent)
        assert side.result()["code"] == codes.PEER_UNAUTHENTICATED.number


class TestForwarding:
    def test_answer_comes_back_through_the_gateway(self):
        # Guards against fields that the gateway does not pass on to the server.
        origin, caller, gateway_connection, sent = forwarded(post(b"body"))
        gateway = World(peers=[peer("n0"), peer("n2")])
        side = gateway.peer()
        side.send(sent)
        server = gateway.accept()
        request = server.socket.take()
        assert b"Briarspoke-Owner: s-1\r\n" in request
        assert b"forward" not in request.lower()
        server.send(OK)
        gateway_connection.send(side.socket.take())
        assert caller.socket.take().endswith(b"ok")
        assert not origin.router.proxied_requests

    def test_gateway_never_forwards_again(self):
        # Guards against a loop between nodes that choose different gateways.
        _, _, _, sent = forwarded(GET)
        gateway = World(peers=[peer("n2")])
        gateway.router.gateways.zone = "z9"
        gateway.router.gateways.refresh({})
        gateway.router.tick()
        gateway.peer().send(sent)
        assert [port for port, _ in gateway.connects] == [1]

    def test_refusal_of_the_gateway_is_passed_on(self):
        # Guards against a refusal that becomes an unknown outcome.
        _, caller, gateway_connection, sent = forwarded(GET)
        gateway = World(slots=1, ranks={"lookup": {"queue": 0}})
        gateway.caller().send(GET)
        side = gateway.peer()
        side.send(sent)
        gateway_connection.send(side.socket.take())
        result = caller.result()
        assert (result["code"], result["run"]) == (codes.QUEUE_FULL.number, "no")

    def test_gateway_with_an_older_table_refuses(self):
        # Guards against a request sent to a former owner by a gateway that has not
        # received the latest owner change.
        origin = World(peers=[peer("n1")])
        document = origin.router.table.documents_by_service["s"]
        newer = {n: Partition(owner="s-1", epoch=2) for n in range(256)}
        origin.router.table.apply(document.with_changes(newer, "w"))
        origin.router.node_id = origin.router.gateways.node_id = "n0"
        origin.router.gateways.zone = "z9"
        origin.router.gateways.refresh({})
        origin.router.tick()
        origin.caller().send(GET)
        gateway = World()
        side = gateway.peer()
        side.send(origin.accept().socket.take())
        gateway.wait(0.5)
        assert not gateway.connects
        gateway.wait(0.6)
        assert side.result()["code"] == codes.OWNER_FENCED.number

    def test_connection_to_the_gateway_lost_after_the_request(self):
        # Guards against the retry of a booking after the gateway was lost.
        origin, caller, gateway_connection, _ = forwarded(post(b"body"))
        gateway_connection.disconnect()
        origin.wait(0.1)
        assert caller.result()["run"] == "unknown"
        assert not origin.connects

    def test_unreachable_gateway_is_avoided(self):
        # Guards against a timeout per request until membership has detected the loss.
        origin = World(peers=[peer("n1")])
        origin.router.node_id = origin.router.gateways.node_id = "n0"
        origin.router.gateways.zone = "z9"
        origin.router.gateways.refresh({})
        origin.router.tick()
        origin.caller().send(post(b"body"))
        assert [port for port, _ in origin.connects] == [7000]
        origin.refuse_connect()
        origin.wait(0.05)
        assert [port for port, _ in origin.connects] == [1]

    def test_callers_cannot_forge_a_forward(self):
        # Guards against headers of a caller that a gateway takes for signed fields.
        world = World()
        world.caller().send(
            GET.replace(b"\r\n\r\n", b"\r\nBriarspoke-Forward: 1\r\n\r\n")
        )
        assert b"forward" not in world.accept().socket.take().lower()


class TestGateways:
    SERVER = types.SimpleNamespace(name="s-1", zone="z1")

    def choose(self, peers, now=0.0, node_id="n0", zone="z9", avoid=()):
        gateways = Gateways(node_id=node_id, zone=zone)
        gateways.refresh({peer.node_id: peer for peer in peers})
        for avoided in avoid:
            gateways.avoid(avoided, 0.0)
        chosen = gateways.choose(self.SERVER, now)
        return chosen.node_id if chosen else node_id

    def test_all_nodes_choose_the_same_gateway(self):
        # Guards against two gateways that count the slots of the same server.
        zones = {"n0": "z9", "n1": "z1", "n2": "z1", "n3": "z2"}
        chosen = {
            self.choose(
                [peer(i, z) for i, z in zones.items()], node_id=node_id, zone=zone
            )
            for node_id, zone in zones.items()
        }
        assert len(chosen) == 1
        assert chosen <= {"n1", "n2"}

    def test_avoided_peer_is_chosen_again(self):
        # Guards against a gateway that is avoided forever.
        peers = [peer("n1"), peer("n2", zone="z2")]
        assert self.choose(peers) == "n1"
        assert self.choose(peers, avoid=["n1"]) != "n1"
        assert self.choose(peers, now=AVOID_DURATION_S, avoid=["n1"]) == "n1"

    def test_choice_follows_a_change_of_peers(self):
        # Guards against cached candidates that are no longer peers.
        gateways = Gateways(node_id="n0", zone="z9")
        assert gateways.choose(self.SERVER, 0.0) is None
        gateways.refresh({"n1": peer("n1")})
        assert gateways.choose(self.SERVER, 0.0).node_id == "n1"
        gateways.refresh({})
        assert gateways.choose(self.SERVER, 0.0) is None
