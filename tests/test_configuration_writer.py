from __future__ import annotations

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from operators_fakes import FakeStore
from twisted.internet import task

from briarspoke.configuration import codes
from briarspoke.configuration.active import ActiveConfiguration
from briarspoke.configuration.changes import Change, Delete, Put
from briarspoke.configuration.document import ConfigurationDocument
from briarspoke.configuration.writer import (
    WRITE_TIMEOUT_S,
    ConfigurationWriter,
    Status,
    WriteState,
)

NAMES = ("za", "zb", "zc")
REGIONS = ("north", "south")


def writer_for(store, clock, seed=1):
    return ConfigurationWriter(
        store=store,
        active_configuration=ActiveConfiguration(),
        clock=clock.seconds,
        sleep=lambda seconds: task.deferLater(clock, seconds, lambda: None),
        seed=seed,
    )


def put(name, region="north"):
    return Put(kind="zones", name=name, value={"name": name, "region": region})


def document_in(store):
    return ConfigurationDocument.decode(store.value)


class TestConfigurationWriter:
    def setup_method(self):
        self.clock = task.Clock()
        self.store = FakeStore()
        self.writer = writer_for(self.store, self.clock)

    def submit(self, *puts, write_id="w", writer=None, **kwargs):
        change = Change(write_id=write_id, puts=puts, **kwargs)
        results = []
        (writer or self.writer).submit(change).addCallback(results.append)
        for _ in range(200):
            if results:
                break
            self.clock.advance(0.1)
        return results[0]

    def test_write_with_lost_response_is_confirmed(self):
        # Guards against reporting a change as failed that is in force.
        self.store.faults = ["lost"]
        result = self.submit(put("za"))
        assert (result.status, result.version) == (Status.ACCEPTED, 1)
        assert len(self.store.history) == 1

    def test_rejected_write_is_read_back(self):
        # Guards against treating status 500 as proof that nothing was written.
        self.store.faults = ["rejected"]
        assert self.submit(put("za"), write_id="w1").status is Status.ACCEPTED
        self.store.faults = ["rejected"] * 1000
        assert self.submit(put("zb"), write_id="w2").status is Status.UNKNOWN

    def test_write_id_takes_effect_once(self):
        # Guards against an operator's retry that undoes a later change.
        self.submit(put("za", "north"), write_id="w1")
        self.submit(put("za", "south"), write_id="w2")
        result = self.submit(put("za", "north"), write_id="w1")
        assert (result.status, result.version) == (Status.ACCEPTED, 1)
        entry = document_in(self.store).entry("zones", "za")
        assert entry.value["region"] == "south"

    def test_store_down(self):
        # Guards against a refusal that hides an unknown outcome.
        self.store.is_down = True
        result = self.submit(put("za"))
        assert result.status is Status.REFUSED
        assert result.code is codes.CONFIGURATION_STORE_UNAVAILABLE

    def test_store_down_after_a_lost_write(self):
        # Guards against refusing a change that takes effect later.
        self.store.is_paused = True
        change = Change(write_id="w", puts=[put("za")])
        results = []
        self.writer.submit(change).addCallback(results.append)
        self.store.release(0)
        self.store.release(0, "dropped")
        self.store.is_paused, self.store.is_down = False, True
        self.clock.pump([0.3] * 30)
        assert [r.status for r in results] == [Status.UNKNOWN]
        self.store.apply_dropped_call(0)
        assert document_in(self.store).version_of_write("w") == 1

    def test_changes_time_out_while_they_wait(self):
        # Guards against making a change long after its operator has given up.
        self.store.is_paused = True
        results = []
        for number in range(3):
            change = Change(write_id=f"w{number}", puts=[put("za")])
            self.writer.submit(change).addCallback(results.append)
        self.clock.advance(WRITE_TIMEOUT_S)
        self.store.release(0)
        self.store.release(0, "down")
        assert {r.write_id: r.code for r in results} == {
            "w0": codes.CONFIGURATION_STORE_UNAVAILABLE,
            "w1": codes.CHANGE_CONTENDED,
            "w2": codes.CHANGE_CONTENDED,
        }
        assert not self.store.pending_calls

    def test_unknown_outcome_has_the_base_version(self):
        self.submit(put("za"), write_id="w1")
        self.store.faults = ["dropped"] * 10_000
        result = self.submit(put("zb"), write_id="w2")
        assert result.status is Status.UNKNOWN
        assert result.base_version == 1
        states = []
        self.writer.find_write("w2", 1).addCallback(states.append)
        self.store.faults = []
        self.submit(put("zc"), write_id="w3")
        self.writer.find_write("w2", 1).addCallback(states.append)
        self.writer.find_write("w3", 1).addCallback(states.append)
        self.writer.find_write("w0").addCallback(states.append)
        assert states == [
            (WriteState.PENDING, None),
            (WriteState.NOT_ACCEPTED, None),
            (WriteState.ACCEPTED, 2),
            (WriteState.UNKNOWN, None),
        ]

    def test_reverted_store_is_refused(self):
        # Guards against reverting the fleet to the old state of a store that lost data.
        self.submit(put("za"), write_id="w1")
        older = self.store.value
        self.submit(put("zb"), write_id="w2")
        self.store.value = older
        result = self.submit(put("zc"), write_id="w3")
        assert result.code is codes.CONFIGURATION_REVERTED
        self.store.value = None
        assert self.submit(put("zc")).code is codes.CONFIGURATION_REVERTED
        assert self.store.value is None

    def test_unreadable_document_is_kept(self):
        # Guards against overwriting a document that cannot be decoded.
        self.store.value = b'{"zones": []}'
        result = self.submit(put("za"))
        assert result.code is codes.CONFIGURATION_UNREADABLE
        assert self.store.value == b'{"zones": []}'

    def test_dry_run_writes_nothing(self):
        result = []
        change = Change(write_id="w", puts=[put("za")])
        self.writer.submit(change, dry_run=True).addCallback(result.append)
        assert [d.action for d in result[0].differences] == ["create"]
        assert self.store.puts == 0

    def test_store_calls_of_a_change(self):
        # Guards against changes that use up the quota of store calls.
        assert self.submit(put("za")).store_calls == 2


class _StoreView:
    """One writer's access to the store; records the first version read per change."""

    def __init__(self, store):
        self.store = store
        self.pending_write_ids = []
        self.first_version_by_id = {}

    def get(self, key):
        return self.store.get(key).addCallback(self._record_version)

    def put(self, key, value, **kwargs):
        return self.store.put(key, value, **kwargs)

    def _record_version(self, stored):
        version = 0
        if stored.value is not None:
            version = ConfigurationDocument.decode(stored.value).version
        self.first_version_by_id.setdefault(self.pending_write_ids[0], version)
        return stored


class RacingWriters(RuleBasedStateMachine):
    """Concurrent writers on one key; a simple model replays the accepted changes.

    Guards against lost, duplicate, partially applied and reverted changes, and
    against results that contradict the stored history.
    """

    def __init__(self):
        super().__init__()
        self.clock = task.Clock()
        self.store = FakeStore(is_paused=True)
        self.views = [_StoreView(self.store) for _ in range(3)]
        self.writers = [writer_for(view, self.clock) for view in self.views]
        self.changes_by_id = {}
        self.results_by_id = {}

    def start(self, writer, **kwargs):
        change = Change(write_id=f"w{len(self.changes_by_id)}", **kwargs)
        self.changes_by_id[change.write_id] = change
        self.views[writer].pending_write_ids.append(change.write_id)
        result = self.writers[writer].submit(change)
        result.addCallback(self.ended, writer)

    def ended(self, result, writer):
        self.views[writer].pending_write_ids.remove(result.write_id)
        self.results_by_id[result.write_id] = result

    @rule(
        writer=strategies.integers(0, 2),
        values=strategies.dictionaries(
            strategies.sampled_from(NAMES), strategies.sampled_from(REGIONS), min_size=1
        ),
        replace=strategies.booleans(),
    )
    def put_zones(self, writer, values, replace):
        puts = [put(name, region) for name, region in values.items()]
        self.start(writer, puts=puts, replace=replace)

    @rule(writer=strategies.integers(0, 2), name=strategies.sampled_from(NAMES))
    def delete_zone(self, writer, name):
        self.start(writer, deletes=[Delete(kind="zones", name=name)])

    @precondition(lambda self: self.store.pending_calls)
    @rule(
        index=strategies.integers(0, 5),
        fault=strategies.sampled_from(["", "", "", "lost", "dropped", "down"]),
    )
    def let_a_call_happen(self, index, fault):
        self.store.release(index % len(self.store.pending_calls), fault)

    @precondition(lambda self: self.store.dropped_calls)
    @rule(index=strategies.integers(0, 5))
    def let_a_dropped_call_arrive(self, index):
        self.store.apply_dropped_call(index % len(self.store.dropped_calls))

    @rule(seconds=strategies.sampled_from([0.02, 0.3, WRITE_TIMEOUT_S]))
    def let_time_pass(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def history_is_what_the_model_gives(self):
        model = {}
        changed_at = dict.fromkeys(NAMES, 0)
        applied = []
        for version, packed in enumerate(self.store.history, start=1):
            document = ConfigurationDocument.decode(packed)
            assert document.version == version
            write_id, _ = document.write_ids[-1]
            change = self.changes_by_id[write_id]
            before = dict(model)
            if change.replace:
                model.clear()
            model.update({p.name: p.value["region"] for p in change.puts})
            for delete in change.deletes:
                del model[delete.name]
            seen = self.version_seen_by(write_id)
            if change.replace:
                assert seen == version - 1
            for name in NAMES:
                if before.get(name) != model.get(name):
                    assert changed_at[name] <= seen
                    # An absent resource has version 0, also after a deletion.
                    changed_at[name] = version if name in model else 0
            stored = {n: e.value["region"] for (_, n), e in document.entries.items()}
            assert stored == model
            applied.append(write_id)
        assert len(applied) == len(set(applied))
        self._check_results(applied)

    def version_seen_by(self, write_id):
        views = [v for v in self.views if write_id in v.first_version_by_id]
        return views[0].first_version_by_id[write_id]

    def _check_results(self, applied):
        for write_id, result in self.results_by_id.items():
            if result.status is Status.ACCEPTED and result.differences:
                assert applied[result.version - 1] == write_id
            if result.status is Status.REFUSED:
                assert write_id not in applied

    def teardown(self):
        for _ in range(200):
            while self.store.pending_calls:
                self.store.release(0)
            self.clock.advance(0.3)
        assert self.results_by_id.keys() == self.changes_by_id.keys()
        while self.store.dropped_calls:
            self.store.apply_dropped_call(0)
        self.history_is_what_the_model_gives()


RacingWriters.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
TestRacingWriters = RacingWriters.TestCase
