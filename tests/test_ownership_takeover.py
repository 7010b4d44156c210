from __future__ import annotations

from briarspoke.ownership.document import Authority
from briarspoke.ownership.takeover import Predecessors
from briarspoke.ownership.timing import GRANT_WAIT_S, move_after_wait_s


def authority(term=5, node="n", move_after_s=None, incarnation=1):
    return Authority(
        term=term, node_id=node, move_after_s=move_after_s, incarnation=incarnation
    )


class TestPredecessors:
    def test_term_without_time_limit_needs_evidence(self):
        # The earlier holder may renew grants for as long as it is isolated.
        assert Predecessors().unsettled([authority()], 0.0, 1e9)

    def test_resignation_settles_a_term_after_its_grants(self):
        # Guards against a reassignment before the last grant has expired.
        predecessors = Predecessors()
        predecessors.resigned(5, 1.0, now=10.0)
        assert predecessors.unsettled([authority()], 0.0, 11.0)
        assert not predecessors.unsettled([authority()], 0.0, 11.03)

    def test_resignation_covers_earlier_terms_of_the_process(self):
        # Otherwise a lost resignation of an earlier term would block owner changes
        # permanently.
        predecessors = Predecessors()
        predecessors.resigned(9, 0.0, now=10.0)
        chain = [authority(term=5), authority(term=7, node="m"), authority(term=9)]
        assert [a.term for a in predecessors.unsettled(chain, 0.0, 11.0)] == [7]

    def test_restart_counts_only_for_earlier_incarnations(self):
        # The process seen over the link may be the one that held the term.
        predecessors = Predecessors()
        predecessors.seen("n", 1, now=10.0)
        assert predecessors.unsettled([authority()], 0.0, 100.0)
        predecessors.seen("n", 2, now=20.0)
        assert not predecessors.unsettled([authority()], 0.0, 20.0 + GRANT_WAIT_S)

    def test_message_delays_the_end_of_a_terminated_vm(self):
        # The VM list may be wrong about a VM that still sends messages.
        predecessors = Predecessors()
        predecessors.vms_listed({"n": "terminated"}, now=10.0)
        predecessors.record_contact("n", now=11.0)
        assert predecessors.unsettled([authority()], 0.0, 13.9 + GRANT_WAIT_S)
        assert not predecessors.unsettled([authority()], 0.0, 14.0 + GRANT_WAIT_S)

    def test_isolated_term_is_settled_after_its_time_limit(self):
        # The holder renews until ``move_after_s`` after its last keepalive, measured
        # on its own clock.
        chain = [authority(move_after_s=2.0)]
        end = 10.0 + move_after_wait_s(2.0)
        assert Predecessors().unsettled(chain, 10.0, end - 0.01)
        assert not Predecessors().unsettled(chain, 10.0, end)
        assert end - 10.0 >= 2.0 / 0.98 + GRANT_WAIT_S

    def test_server_declared_terminated_by_the_operator(self):
        # Guards against a declaration for a server that also counts for an entry VM of
        # the same name, and against one that remains after it was withdrawn.
        predecessors = Predecessors()
        predecessors.declared_terminated({"n"}, now=10.0)
        assert predecessors.unsettled([authority()], 0.0, 100.0)
        assert predecessors.server_grants_expire_at("n") == 10.0 + GRANT_WAIT_S
        predecessors.declared_terminated({"n"}, now=20.0)
        assert predecessors.server_grants_expire_at("n") == 10.0 + GRANT_WAIT_S
        predecessors.declared_terminated(set(), now=30.0)
        assert predecessors.server_grants_expire_at("n") is None
