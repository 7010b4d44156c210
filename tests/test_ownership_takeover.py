from __future__ import annotations

from briarspoke.ownership.document import Authority
from briarspoke.ownership.takeover import Predecessors
from briarspoke.ownership.timing import GRANT_WAIT_S, move_after_wait_s


def authority(term=5, node="n", move_after_s=None, incarnation=1):
    return Authority(
        term=term, node_id=node, move_after_s=move_after_s, incarnation=incarnation
    )


class TestPredecessors:
    def test_hold_waits_for_proof(self):
        # The old holder may renew for as long as it is isolated.
        assert Predecessors().unsettled([authority()], 0.0, 1e9)

    def test_resignation(self):
        # Reassigning before the stated time would meet live grants.
        known = Predecessors()
        known.resigned(5, 1.0, now=10.0)
        assert known.unsettled([authority()], 0.0, 11.0)
        assert not known.unsettled([authority()], 0.0, 11.03)

    def test_resignation_covers_earlier_terms_of_the_process(self):
        # A lost resignation of an earlier term would block the zone for good.
        known = Predecessors()
        known.resigned(9, 0.0, now=10.0)
        chain = [authority(term=5), authority(term=7, node="m"), authority(term=9)]
        assert [a.term for a in known.unsettled(chain, 0.0, 11.0)] == [7]

    def test_restart_counts_only_for_earlier_incarnations(self):
        # The process that is linked may be the one that held the term.
        known = Predecessors()
        known.seen("n", 1, now=10.0)
        assert known.unsettled([authority()], 0.0, 100.0)
        known.seen("n", 2, now=20.0)
        assert not known.unsettled([authority()], 0.0, 20.0 + GRANT_WAIT_S)

    def test_terminated_vm_that_was_heard(self):
        # The VM list may be wrong about a VM that still sends.
        known = Predecessors()
        known.vms_listed({"n": "terminated"}, now=10.0)
        known.heard("n", now=11.0)
        assert known.unsettled([authority()], 0.0, 13.9 + GRANT_WAIT_S)
        assert not known.unsettled([authority()], 0.0, 14.0 + GRANT_WAIT_S)

    def test_move_after(self):
        # The holder renews until T after its last keepalive, on its own clock.
        chain = [authority(move_after_s=2.0)]
        end = 10.0 + move_after_wait_s(2.0)
        assert Predecessors().unsettled(chain, 10.0, end - 0.01)
        assert not Predecessors().unsettled(chain, 10.0, end)
        assert end - 10.0 >= 2.0 / 0.98 + GRANT_WAIT_S

    def test_operator_declares_a_server(self):
        # The statement on a server must not free the grants that an entry VM of
        # the same name may still renew, and ends when it is taken back.
        known = Predecessors()
        known.declared_terminated({"n"}, now=10.0)
        assert known.unsettled([authority()], 0.0, 100.0)
        assert known.server_free_at("n") == 10.0 + GRANT_WAIT_S
        known.declared_terminated({"n"}, now=20.0)
        assert known.server_free_at("n") == 10.0 + GRANT_WAIT_S
        known.declared_terminated(set(), now=30.0)
        assert known.server_free_at("n") is None
