from __future__ import annotations

from briarspoke.routing.reachability import Reachability


class TestReachability:
    def test_one_request_probes_an_unreachable_server(self):
        # Guards against slots that are held by connects to a lost server.
        reachability = Reachability()
        assert reachability.failed("a", 10.0)
        assert not reachability.may_try("a", 10.1)
        assert reachability.may_try("a", 10.3)
        assert not reachability.may_try("a", 10.31)
        assert reachability.may_try("b", 10.1)

    def test_server_that_answers_others_is_reachable(self):
        # Guards against refusals of all requests because one connect timed out
        # on a busy machine: 87 in a run of the bench takeover.
        reachability = Reachability()
        reachability.answered("a", 10.0)
        assert not reachability.failed("a", 10.3)
        assert reachability.may_try("a", 10.3)
        assert reachability.failed("a", 10.6)

    def test_answer_ends_the_refusals(self):
        reachability = Reachability()
        reachability.failed("a", 10.0)
        assert reachability.answered("a", 10.1)
        assert reachability.may_try("a", 10.1)

    def test_old_failure_counts_no_more(self):
        # Guards against refusals of a restarted server's first requests: one of
        # them was the probe, the others got 3002 in the bench takeover.
        reachability = Reachability()
        reachability.failed("a", 10.0)
        assert reachability.may_try("a", 13.0)
        assert reachability.may_try("a", 13.0)
        assert reachability.failed("a", 13.1)
