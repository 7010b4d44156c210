from __future__ import annotations

from types import SimpleNamespace

import pytest
from http_fakes import World

from briarspoke.admission.queue import Ticket
from briarspoke.membership.documents import Documents
from briarspoke.node_status import RouterStatus, register_gauges, requests_waiting
from briarspoke.ownership.candidate import record_value
from briarspoke.ownership.document import OwnershipDocument, Partition, State


@pytest.fixture
def node():
    world = World(partitions=4)
    router = world.router
    return SimpleNamespace(
        router=router,
        metrics=router.metrics,
        documents=Documents(),
        control=SimpleNamespace(holds=lambda zone: zone == "z1"),
        members=SimpleNamespace(usable=lambda: ["n1", "n2"]),
        store=SimpleNamespace(is_reachable=False),
    )


def ownership(service="s"):
    changes = {
        0: Partition(owner="s-1", epoch=9),
        1: Partition(owner="s-1", epoch=9, state=State.MOVING),
    }
    return OwnershipDocument.empty(service, 4).with_changes(changes, "w")


class TestRouterStatus:
    def test_zone_is_shown_with_holder_and_term(self, node):
        # Guards against showing a controller for a zone whose lease record is empty.
        status = RouterStatus(node=node)
        without_controller = {
            "zone": "z1",
            "controller": None,
            "term": None,
            "evacuated": False,
        }
        assert status.zones() == [without_controller]
        node.documents.offer("controllers/z1", 12, record_value("n2", "x"))
        assert status.zones() == [
            {**without_controller, "controller": "n2", "term": 12}
        ]
        node.documents.offer("controllers/z1", 13, b"")
        assert status.zones() == [without_controller]

    def test_owned_in_every_service(self, node):
        # Guards against deleting a server that still owns partitions of the service it
        # belonged to before.
        node.router.table.documents_by_service = {
            name: ownership(name) for name in ("s", "former")
        }
        assert RouterStatus(node=node).partitions_owned("s-1") == 4

    def test_unknown_and_deleted_services(self, node):
        # Guards against a service without an ownership document that is not reported as
        # unowned.
        node.router.table.documents_by_service = {"former": ownership("former")}
        view = RouterStatus(node=node).ownership()
        assert view.keys() == {"s"}
        assert view["s"]["unowned"] == 4


class TestGauges:
    def test_every_gauge_is_rendered(self, node):
        # Guards against an alarm on a gauge that no node exports.
        node.router.table.documents_by_service = {"s": ownership()}
        register_gauges(node)
        lines = node.metrics.render().decode().splitlines()
        values = {
            line.split("{")[0]: line.split()[-1] for line in lines if line[0] != "#"
        }
        assert values["briarspoke_partitions_unowned"] == "2"
        assert values["briarspoke_partitions_moving"] == "1"
        assert values["briarspoke_zones_controlled"] == "1"
        assert values["briarspoke_members_live"] == "2"
        assert values["briarspoke_store_reachable"] == "0"

    def test_waiting_requests_by_rank(self, node):
        # Guards against counting waiting requests under the wrong rank.
        service = node.router.configuration.services_by_name["s"]
        queue = node.router.queue_of("s-1", service)
        for rank in ("bulk", "bulk", "bulk", "booking"):
            queue.offer(Ticket(rank=rank, deadline=9.0), 0.0)
        # Two slots: bulk may hold one of them, and booking takes the other.
        waiting = {"lookup": 0, "booking": 0, "bulk": 2}
        assert requests_waiting(node.router) == waiting
