"""Assignment of a zone's servers to its entry VMs."""

from __future__ import annotations

from briarspoke.entry.affinity import (
    MIN_PREFERRED_SERVERS,
    MIN_VMS_PER_SERVER,
    Affinity,
)

NODES = tuple(f"front-poa-{number}" for number in range(10))
SERVERS = tuple(f"s-{number}" for number in range(20))


def affinities(nodes, servers):
    all_affinities = {name: Affinity(node=name) for name in nodes}
    for affinity in all_affinities.values():
        affinity.update(nodes, servers)
    return all_affinities.values()


class TestManyNodes:
    def test_each_server_has_the_same_number_of_vms(self):
        # Guards against servers that no entry VM, or every entry VM, prefers.
        all_affinities = affinities(NODES, SERVERS)
        for server in SERVERS:
            assert sum(a.prefers(server) for a in all_affinities) == MIN_VMS_PER_SERVER

    def test_a_new_server_changes_no_other(self):
        # Guards against reopening all connections whenever a server joins.
        before = Affinity(node=NODES[0])
        before.update(NODES, SERVERS)
        after = Affinity(node=NODES[0])
        after.update(NODES, (*SERVERS, "s-new"))
        assert all(before.prefers(s) == after.prefers(s) for s in SERVERS)

    def test_few_servers_are_shared_by_more(self):
        all_affinities = affinities(NODES, SERVERS[:5])
        for affinity in all_affinities:
            assert (
                sum(affinity.prefers(s) for s in SERVERS[:5])
                >= MIN_PREFERRED_SERVERS - 2
            )


class TestFewNodes:
    def test_all_servers_are_preferred(self):
        # Guards against idle servers in zones with one or two entry VMs.
        for affinity in affinities(NODES[:2], SERVERS):
            assert affinity.vms_per_server == 2
            assert all(affinity.prefers(s) for s in SERVERS)
