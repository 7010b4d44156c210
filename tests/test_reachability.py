from __future__ import annotations

from briarspoke.routing.reachability import Reachability


class TestReachability:
    def test_one_request_probes_an_unreachable_server(self):
        # Guards against slots that are held by connection attempts to a lost server.
        reachability = Reachability()
        assert reachability.failed("a", 10.0)
        assert not reachability.may_try("a", 10.1)
        assert reachability.may_try("a", 10.3)
        assert not reachability.may_try("a", 10.31)
        assert reachability.may_try("b", 10.1)

    def test_server_that_has_just_answered_is_reachable(self):
        # Guards against the refusal of all requests after one connect timed out on a
        # busy machine: 87 refusals in a run of the bench takeover.
        reachability = Reachability()
        reachability.answered("a", 10.0)
        assert not reachability.failed("a", 10.3)
        assert reachability.may_try("a", 10.3)
        assert reachability.failed("a", 10.6)

    def test_answer_makes_a_server_reachable(self):
        reachability = Reachability()
        reachability.failed("a", 10.0)
        assert reachability.answered("a", 10.1)
        assert reachability.may_try("a", 10.1)

    def test_old_failure_is_ignored(self):
        # Guards against refusals of the first requests for a restarted server: in the
        # bench takeover one of them was the probe and the others got code 3002.
        reachability = Reachability()
        reachability.failed("a", 10.0)
        assert reachability.may_try("a", 13.0)
        assert reachability.may_try("a", 13.0)
        assert reachability.failed("a", 13.1)
