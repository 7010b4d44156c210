from __future__ import annotations

import pytest
from twisted.internet import defer, task

from briarspoke.configuration.snapshot import Configuration
from briarspoke.ownership import events
from briarspoke.ownership import runner as module
from briarspoke.ownership.document import OwnershipDocument
from briarspoke.ownership.runner import ControlRunner
from briarspoke.platform.store import (
    LeaseExpiredError,
    StoreConflictError,
    StoredValue,
    StoreOutcomeUnknownError,
)
from briarspoke.standins.grants import GrantTable
from briarspoke.standins.store import StoreState


class MemoryStore:
    """Store client in memory that answers immediately.

    :ivar lost_answers: number of writes whose answers are lost.
    :ivar down: whether every call fails.
    """

    def __init__(self, clock):
        self.state = StoreState()
        self.clock = clock
        self.lost_answers = 0
        self.down = False

    def _check(self):
        if self.down:
            raise StoreOutcomeUnknownError("down")
        self.state.expire(self.clock.seconds())

    def get(self, key):
        return defer.execute(self._get, key)

    def _get(self, key):
        self._check()
        entry = self.state.entries.get(key)
        if entry is None:
            return StoredValue(key=key, value=None, revision=0)
        return StoredValue(key=key, value=entry.value, revision=entry.revision)

    def list(self, prefix):
        entries = [self._get(k) for k in self.state.entries if k.startswith(prefix)]
        return defer.succeed((self.state.revision, entries))

    def watch(self, prefix, *, after, wait_s):
        return defer.Deferred()

    def put(self, key, value, *, expected_revision, lease=None):
        return defer.execute(self._put, key, value, expected_revision, lease)

    def _put(self, key, value, expected_revision, lease):
        self._check()
        if lease is not None and lease not in self.state.leases:
            raise LeaseExpiredError("expired")
        taken, revision = self.state.put(key, value, expected_revision, lease)
        if not taken:
            raise StoreConflictError(revision)
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreOutcomeUnknownError("lost")
        return revision

    def grant_lease(self, ttl_s):
        return defer.execute(self.state.grant_lease, ttl_s, self.clock.seconds())

    def keep_alive(self, lease):
        return defer.execute(self._keep_alive, lease)

    def _keep_alive(self, lease):
        self._check()
        if self.state.keep_alive(lease, self.clock.seconds()) is None:
            raise LeaseExpiredError("expired")

    def revoke_lease(self, lease):
        return defer.execute(self.state.revoke, lease)


class DirectControlClient:
    """Control client that calls the grant tables directly, without HTTP."""

    tables = {}

    def __init__(self, *, reactor, settled, count_bytes):
        self._reactor = reactor
        self._settled = settled

    def send_grants(self, zone, command):
        table = self.tables[command.server]
        status, value = table.control("/_control/grants", command.body())
        event = events.GrantAnswered(
            server=command.server,
            call_id=command.call_id,
            accepted=status == 200,
            clock=value["clock"],
            incarnation=value["incarnation"],
            term=value["term"],
            digest=value.get("digest", ""),
        )
        self._reactor.callLater(0.001, self._settled, zone, event)

    def close(self):
        return defer.succeed(None)


class RecordingLinks:
    def __init__(self):
        self.sent = []

    def send(self, node_id, message):
        self.sent.append((node_id, message))

    def broadcast(self, message):
        self.sent.append((None, message))


class Deployment:
    """Two runners with one store in virtual time."""

    def __init__(self):
        self.clock = task.Clock()
        self.store = MemoryStore(self.clock)
        self.published = []
        self.watched = 0
        self.links = RecordingLinks()
        value = {
            "zones": [{"name": "z"}],
            "services": [{"name": "s", "partitions": 8}],
            "servers": [
                {"name": n, "service": "s", "zone": "z", "address": "127.0.0.1:1"}
                for n in ("a", "b")
            ],
        }
        configuration = Configuration.from_json(value, [], version=1)
        DirectControlClient.tables = {
            name: GrantTable(server=name, clock=self.clock.seconds)
            for name in configuration.servers_by_name
        }
        self.runners = [self._runner(name, configuration) for name in ("n1", "n2")]

    def _runner(self, name, configuration):
        runner = ControlRunner(
            reactor=self.clock,
            clock=self.clock.seconds,
            node_id=name,
            zone="z",
            store=self.store,
            publish=lambda *document: self.published.append(document),
            links=self.links,
            members=lambda: {"n1": "z", "n2": "z"},
            vms=list,
            instance=1,
        )
        runner.set_incarnation(1)
        runner.start()
        runner.configuration_changed(configuration)
        return runner

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            self._watch()

    def _watch(self):
        """Passes lease records to the runners, as a node's watch does."""
        self.store.state.expire(self.clock.seconds())
        seen, self.watched = self.watched, self.store.state.revision
        for revision, key, value in list(self.store.state.events):
            if revision > seen and key.startswith("controllers/"):
                for runner in self.runners:
                    runner.document_changed(key, revision, value or b"")

    def holder(self):
        (holder,) = [runner for runner in self.runners if runner.holds("z")]
        return holder

    def held(self):
        tables = DirectControlClient.tables.values()
        return sorted(p for t in tables for p, e in t.held.items() if t.holds(p, e))


@pytest.fixture
def deployment(monkeypatch):
    monkeypatch.setattr(module, "ServerControlClient", DirectControlClient)
    return Deployment()


ALL = [f"s/{number}" for number in range(8)]


class TestControlRunner:
    def test_grants_every_partition_once(self, deployment):
        # Guards against two candidates that both control the zone.
        deployment.advance(2.0)
        assert deployment.holder()
        assert deployment.held() == ALL

    def test_stop_hands_over_without_interruption(self, deployment):
        # Guards against keys that are unavailable during the restart of an entry VM.
        deployment.advance(2.0)
        stopped = deployment.holder()
        stopped.stop()
        for _ in range(60):
            deployment.advance(0.05)
            assert deployment.held() == ALL
        assert deployment.holder() is not stopped

    def test_write_with_lost_answer_is_read_back(self, deployment):
        # The writes took effect; guards against writing again without a read.
        deployment.store.lost_answers = 3
        deployment.advance(4.0)
        assert deployment.held() == ALL

    def test_grants_continue_during_a_store_outage(self, deployment):
        # Guards against grants that expire while the store is unreachable.
        deployment.advance(2.0)
        deployment.store.down = True
        deployment.advance(10.0)
        assert deployment.held() == ALL
        deployment.store.down = False
        for _ in range(60):
            deployment.advance(0.05)
            assert deployment.held() == ALL

    def test_pause_is_detected_before_the_next_event(self, deployment):
        # Guards against handling an answer read after a pause as if it were in time.
        deployment.advance(2.0)
        holder = deployment.holder()
        deployment.clock.rightNow += 5.0
        holder.node_reachable("n2")
        controller = holder._zones["z"].controller
        assert controller.counts.get("paused") == 1 or not controller.active

    def test_publishes_the_newest_version(self, deployment):
        # An older document would restore an earlier owner.
        deployment.advance(4.0)
        versions = [v for key, v, _ in deployment.published if key == "ownership/s"]
        assert versions
        content = deployment.store.state.entries["ownership/s"].value
        assert max(versions) == OwnershipDocument.decode(content).version
