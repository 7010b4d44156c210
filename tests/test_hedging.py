"""When copies of slow requests are sent, and how many."""

from __future__ import annotations

import pytest
from hedging_load import Load, percentile
from hypothesis import given, settings
from hypothesis import strategies as st

from briarspoke.entry.budget import RetryBudget
from briarspoke.entry.hedging import HedgeBudget, Hedging, MeanInFlight, Situation
from briarspoke.entry.servicetimes import (
    MAX_RECENT_TIMES,
    RECENT_TIMES_MAX_AGE_S,
    RecentTimes,
)

SHARE = 0.02
# Requests per second of the service without keys in docs/design/uneven-load.md, D2.
LOOKUPS_PER_S, UPLOADS_PER_S = 169, 58


def hedging(times, *, share=SHARE, at=10.0):
    """Returns a :class:`Hedging` that knows the times of answers."""
    known = Hedging()
    for seconds in times:
        known.count_request(at, share)
        known.count_hedgeable("lookup", at)
        known.record_answer("lookup", seconds, at)
    return known


def situation(**changes):
    values = {
        "now": 10.0,
        "is_stopping": False,
        "attempts": 1,
        "max_attempts": 2,
        "has_failed": False,
        "time_left_s": 1.0,
        "waiting": 0,
        "in_flight": 1,
        "in_flight_limit": 10,
        "slots": 10.0,
    }
    return Situation(**{**values, **changes})


class TestHeavyTail:
    """Guards against copies that are sent too late, or too seldom, to help."""

    @pytest.mark.parametrize(
        ("vms", "seeds"), [(10, range(2)), (30, range(2)), (93, range(6))]
    )
    def test_p99_is_a_fifth_lower(self, vms, seeds):
        p99_by_share = {}
        for share in (0.0, SHARE):
            latencies, requests, copies = [], 0, 0
            for seed in seeds:
                load = Load(
                    seed=seed,
                    rate=lambda now: LOOKUPS_PER_S + UPLOADS_PER_S,
                    lookup_fraction=LOOKUPS_PER_S / (LOOKUPS_PER_S + UPLOADS_PER_S),
                    share=share,
                    vms=vms,
                )
                times = load.run(150.0)
                # Without those while the answer times are not known.
                latencies += times[len(times) // 5 :]
                requests += load.first_sends
                copies += len(load.copy_times)
            assert copies <= share * requests
            p99_by_share[share] = percentile(latencies, 0.99)
            late = sum(seconds > load.objective_s for seconds in latencies)
            print(
                f"vms={vms} share={share} requests={requests} copies={copies} "
                f"p99_ms={p99_by_share[share] * 1000:.0f} "
                f"late_percent={100 * late / len(latencies):.2f}"
            )
        assert p99_by_share[SHARE] <= 0.8 * p99_by_share[0.0]

    def test_without_a_tail_the_mean_stays(self):
        # Guards against copies that take capacity away where they cannot help.
        means = []
        for share in (0.0, SHARE):
            load = Load(
                seed=3, rate=lambda now: 170, share=share, slow_fraction=0.0, vms=30
            )
            latencies = load.run(90.0)
            means.append(sum(latencies) / len(latencies))
        assert means[1] <= 1.03 * means[0]


class TestOverload:
    @pytest.mark.parametrize("vms", [10, 30, 93])
    def test_no_copies_after_a_second(self, vms):
        # Guards against copies that make a shortage of capacity worse.
        begins, ends = 60.0, 70.0
        load = Load(
            seed=5,
            # The servers can run about 700 requests a second.
            rate=lambda now: 1500 if begins <= now < ends else 170,
            share=0.2,
            vms=vms,
        )
        load.run(80.0)
        assert any(at < begins for at in load.copy_times)
        during = [at for at in load.copy_times if begins + 1 <= at < ends]
        print(f"vms={vms} copies in the first second: ", end="")
        print(sum(begins <= at < begins + 1 for at in load.copy_times))
        assert not during

    @pytest.mark.parametrize(
        ("changes", "reason"),
        [
            ({"waiting": 1}, "queue"),
            ({"in_flight": 7}, "busy"),
            ({"reported_utilisation": 0.7}, "busy"),
            ({"is_stopping": True}, "stopping"),
            ({"attempts": 2}, "attempts"),
            ({"has_failed": True}, "failed"),
            ({"time_left_s": 0.09}, "late"),
        ],
    )
    def test_no_copy(self, changes, reason):
        known = hedging([0.1] * 100)
        assert known.why_not(situation(), "lookup") is None
        assert known.why_not(situation(**changes), "lookup") == reason

    def test_no_copy_for_a_second_after_a_rejection(self):
        known = hedging([0.1] * 100)
        known.record_rejection(9.5)
        assert known.why_not(situation(now=10.4), "lookup") == "rejected"
        assert known.why_not(situation(now=10.6), "lookup") is None

    def test_mean_in_flight_counts_slowly(self):
        # Guards against one slow request that makes a VM with few slots look busy.
        mean = MeanInFlight()
        mean.update(1, 10.0)
        assert mean.value(10.3) < 0.2
        mean.update(6, 11.0)
        assert mean.value(12.0) > 2.0
        mean.update(0, 12.0)
        assert mean.value(30.0) < 0.01


class TestDelay:
    def test_is_unknown_without_answers(self):
        assert hedging([0.1] * 19).delay_s("lookup", 10.0, share=SHARE) is None
        assert hedging([0.1] * 20).delay_s("lookup", 10.0, share=SHARE) is not None

    def test_leaves_as_many_requests_as_copies_are_allowed(self):
        known = hedging([0.001 * n for n in range(1, 201)])
        assert 0.19 <= known.delay_s("lookup", 10.0, share=SHARE) < 0.2

    def test_leaves_time_for_the_objective(self):
        known = hedging([0.1] * 94 + [0.7] * 6)
        assert known.delay_s("lookup", 10.0, share=SHARE) == 0.7
        delay_s = known.delay_s("lookup", 10.0, share=SHARE, objective_s=0.5)
        assert delay_s == pytest.approx(0.4)

    def test_server_that_says_that_it_is_slow_gets_the_mean(self):
        known = hedging([0.1] * 94 + [0.7] * 6)
        early_s = known.delay_s("lookup", 10.0, share=SHARE, expected_s=0.8)
        assert early_s == pytest.approx(0.136)
        assert known.delay_s("lookup", 10.0, share=SHARE, expected_s=0.3) == 0.7

    @given(
        st.lists(st.floats(0.001, 5.0), min_size=20, max_size=250),
        st.floats(0.0, 0.2),
        st.floats(-1.0, 5.0),
        st.floats(0.0, 5.0),
    )
    def test_is_never_shorter_than_the_mean(self, times, share, objective, expected):
        known = hedging(times, share=share)
        delay_s = known.delay_s(
            "lookup", 10.0, share=share, objective_s=objective, expected_s=expected
        )
        recent = times[-MAX_RECENT_TIMES:]
        assert delay_s >= sum(recent) / len(recent) - 1e-6

    def test_abandoned_attempts_do_not_shorten_it(self):
        # Guards against a delay that falls because only fast answers are recorded.
        known = hedging([0.1] * 90 + [0.5] * 10)
        before = known.delay_s("lookup", 10.0, share=SHARE)
        for _ in range(20):
            known.record_unfinished("lookup", 0.05, 10.0, SHARE)
        assert known.delay_s("lookup", 10.0, share=SHARE) == before
        for _ in range(20):
            known.record_unfinished("lookup", 0.6, 10.0, SHARE)
        assert known.delay_s("lookup", 10.0, share=SHARE) == 0.6


class TestRecentTimes:
    @given(st.lists(st.tuples(st.floats(0.0, 3.0), st.floats(0.001, 9.0)), min_size=1))
    def test_quantiles_are_those_of_the_latest_times(self, records):
        # Guards against times that stay although they are too old.
        recent, now, known = RecentTimes(), 0.0, []
        for elapsed_s, seconds in records:
            now += elapsed_s
            recent.record(seconds, now)
            known.append((now, seconds))
        known = [s for at, s in known if now - at <= RECENT_TIMES_MAX_AGE_S]
        known = sorted(known[-MAX_RECENT_TIMES:])
        assert len(recent) == len(known)
        assert recent.quantile_s(0.5) == known[int(0.5 * len(known))]
        assert recent.quantile_s(1.0) == known[-1]
        assert recent.mean_s == pytest.approx(sum(known) / len(known))


class TestLimits:
    """Guards against more copies than the operator allows."""

    @settings(max_examples=300)
    @given(
        st.sampled_from([0.001, 0.02, 0.1, 0.2]),
        st.lists(
            st.one_of(
                st.tuples(st.just("requests"), st.integers(0, 4), st.integers(1, 90)),
                st.tuples(st.just("copies"), st.integers(0, 4), st.integers(1, 20)),
                st.tuples(st.just("restart"), st.integers(0, 4), st.just(1)),
            ),
            max_size=80,
        ),
    )
    def test_sum_over_all_vms_keeps_the_share(self, share, events):
        # No VM knows the number of VMs, so a wrong one cannot matter.
        budgets = [HedgeBudget() for _ in range(5)]
        requests = copies = 0
        for event, number, count in events:
            for _ in range(count):
                if event == "restart":
                    budgets[number] = HedgeBudget()
                elif event == "requests":
                    budgets[number].count_request(share)
                    requests += 1
                elif budgets[number].allows():
                    budgets[number].spend()
                    copies += 1
                assert copies <= share * requests + 1e-6

    def test_allowed_copies_are_used(self):
        budget, copies = HedgeBudget(), 0
        for _ in range(10_000):
            budget.count_request(0.02)
            if budget.allows():
                budget.spend()
                copies += 1
        assert copies >= 199

    @settings(max_examples=200)
    @given(
        st.integers(1, 500),
        st.lists(
            st.tuples(
                st.sampled_from(["request", "retry", "copy"]), st.floats(0.0, 2.0)
            ),
            max_size=200,
        ),
    )
    def test_copies_leave_retries_their_part(self, nodes, events):
        budget = RetryBudget(ratio=0.2, slack=56, window_s=10.0)
        now, requests, copies = 100.0, [], []
        for event, elapsed_s in events:
            now += elapsed_s
            if event == "request":
                budget.count_request(now)
                requests.append(now)
            elif event == "copy" and budget.spend_copy(now):
                copies.append(now)
                in_window = sum(at > now - 10.5 for at in requests)
                assert sum(at > now - 10.0 for at in copies) <= 0.2 * in_window
            elif event == "retry":
                budget.spend(now, nodes)

    def test_first_retries_are_possible_after_all_copies(self):
        budget = RetryBudget(ratio=0.2, slack=0, window_s=10.0)
        for _ in range(100):
            budget.count_request(100.0)
        copies = sum(budget.spend_copy(100.0) for _ in range(50))
        retries = sum(budget.spend(100.0, 1) for _ in range(50))
        assert (copies, retries) == (12, 4)
        assert not budget.spend_copy(100.0)
