from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from briarspoke.errors import InvariantError
from briarspoke.membership.documents import REQUEST_TIMEOUT_S, Documents

KEYS = st.sampled_from(["config", "ownership/a", "controllers/z"])
PEERS = st.sampled_from(["p1", "p2", "p3"])
VERSIONS = st.integers(0, 6)


class DocumentsMachine(RuleBasedStateMachine):
    """Compares the table with a list of all accepted offers."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.documents = Documents()
        self.accepted = []
        self.observed = []
        self.versions_by_peer = {}
        self.pending_by_key = {}
        self.documents.observe("", lambda d: self.observed.append((d.key, d.version)))

    def held(self, key):
        return max((t for t in self.accepted if t[0] == key), default=(key, 0, b""))

    @rule(key=KEYS, version=VERSIONS, content=st.sampled_from([b"x", b"y"]))
    def offer(self, key, version, content):
        _, held, held_content = self.held(key)
        if 0 < version == held and content != held_content:
            with pytest.raises(InvariantError):
                self.documents.offer(key, version, content, "store")
            return
        accepted = self.documents.offer(key, version, content, "store")
        assert accepted == (version > held)
        if accepted:
            self.accepted.append((key, version, content))
            self.pending_by_key.pop(key, None)

    @rule(peer=PEERS, versions=st.dictionaries(KEYS, VERSIONS))
    def digest_arrives(self, peer, versions):
        self.documents.record_peer_versions(peer, versions)
        known = self.versions_by_peer.setdefault(peer, {})
        for key, version in versions.items():
            known[key] = max(version, known.get(key, 0))

    @rule(peer=PEERS)
    def peer_goes(self, peer):
        self.documents.forget_peer(peer)
        self.versions_by_peer.pop(peer, None)
        self.pending_by_key = {
            k: v for k, v in self.pending_by_key.items() if v[0] != peer
        }

    @rule(dt=st.sampled_from([0.1, REQUEST_TIMEOUT_S]))
    def request(self, dt):
        self.now += dt
        requests = {r.key: r for r in self.documents.requests(self.now)}
        for key in ("config", "ownership/a", "controllers/z"):
            held = self.held(key)[1]
            newer = {
                p for p, v in self.versions_by_peer.items() if v.get(key, 0) > held
            }
            last_peer, sent_at = self.pending_by_key.get(key, (None, -1.0))
            is_due = last_peer is None or self.now - sent_at >= REQUEST_TIMEOUT_S
            assert (key in requests) == bool(newer and is_due)
            if key in requests:
                peer = requests[key].peer
                assert requests[key].held == held and peer in newer
                # The peer that did not answer gets the retry only if no other can.
                assert peer != last_peer or newer == {last_peer}
                self.pending_by_key[key] = (peer, self.now)

    @invariant()
    def agrees_with_the_list(self):
        assert self.observed == [(key, version) for key, version, _ in self.accepted]
        for key, version in self.documents.digest().items():
            document = self.documents.by_key[key]
            assert (key, version, document.content) == self.held(key)
        assert self.documents.changes_since(0) == self.documents.digest()


class TestDocuments:
    def test_against_the_naive_model(self):
        # Guards against a document that reverts to an older version, and against
        # requests that are sent to several peers at a time or never retried.
        run_state_machine_as_test(
            DocumentsMachine,
            settings=settings(
                derandomize=True, max_examples=60, deadline=None, database=None
            ),
        )

    def test_failing_observer_does_not_stop_the_others(self):
        # Guards against a node that stops spreading documents after an error in one
        # observer.
        documents, observed = Documents(), []
        documents.observe("config", lambda document: 1 / 0)
        documents.observe("config", observed.append)
        assert documents.offer("config", 1, b"x")
        assert len(observed) == 1
