from __future__ import annotations

import random
import zlib

import cbor2
import pytest

from briarspoke.configuration import document as document_module
from briarspoke.configuration.active import ActiveConfiguration
from briarspoke.configuration.document import (
    MAX_PACKED_BYTES,
    ConfigurationDocument,
    ConfigurationTooLargeError,
)
from briarspoke.errors import InvariantError

ZONE = {"name": "poa", "region": "sul", "evacuated": False}


def document_of(*zones):
    value = {"zones": [{"name": name} for name in zones]}
    return ConfigurationDocument.from_configuration(value)


class TestConfigurationDocument:
    def test_round_trip(self):
        document = document_of("poa", "cwb").with_changes(
            {("zones", "poa"): ZONE}, [("zones", "cwb")], "w2"
        )
        decoded = ConfigurationDocument.decode(document.encode())
        assert decoded.entries == document.entries
        assert decoded.version == 2
        assert decoded.write_ids == (("initial", 1), ("w2", 2))
        assert decoded.changed_at("zones", "poa") == 2
        assert decoded.changed_at("zones", "cwb") == 0

    def test_write_ids_are_bounded(self):
        # Guards against a document that grows with every change.
        document = ConfigurationDocument()
        for number in range(40):
            document = document.with_changes({}, (), f"w{number}")
        assert len(document.write_ids) == 16
        assert document.version_of_write("w39") == 40
        assert document.version_of_write("w20") is None
        assert document.retains_write(25) and not document.retains_write(24)

    def test_too_large_is_refused(self):
        # Guards against a write that the store rejects as too large.
        noise = random.Random(1).randbytes(MAX_PACKED_BYTES).hex()
        document = ConfigurationDocument().with_changes(
            {("zones", "poa"): {**ZONE, "region": noise}}, (), "w"
        )
        with pytest.raises(ConfigurationTooLargeError):
            document.encode()

    def test_gap_in_versions_fails(self):
        # Guards against reporting the wrong version for a write identifier.
        with pytest.raises(InvariantError):
            ConfigurationDocument(version=3, write_ids=[("a", 1), ("b", 3)]).check()

    @pytest.mark.parametrize(
        "content",
        [
            [2, 0, [], {}],
            [1, -1, [], {}],
            [1, True, [], {}],
            [1, 0, [], {"frogs": {}}],
            [1, 1, [["w", 1]], {"zones": {"poa": [9, ZONE]}}],
            [1, 1, [["w", 1]], {"zones": {"cwb": [1, ZONE]}}],
            [1, 1, [["w", 1]], {"zones": {"poa": [1, "x"]}}],
            {},
            [1],
            [1, 0, 5, 5],
        ],
    )
    def test_malformed_content(self, content):
        # Guards against a node that applies a part of a damaged document.
        with pytest.raises(ValueError):
            ConfigurationDocument.decode(zlib.compress(cbor2.dumps(content)))

    def test_malformed_bytes(self):
        packed = document_of("poa").encode()
        for data in (b"", b"x", packed[:-3], packed + b"x", zlib.compress(b"")):
            with pytest.raises(ValueError):
                ConfigurationDocument.decode(data)

    def test_unpacking_is_bounded(self, monkeypatch):
        # Guards against a small document that exhausts the memory when unpacked.
        monkeypatch.setattr(document_module, "MAX_UNPACKED_BYTES", 1000)
        with pytest.raises(ValueError):
            ConfigurationDocument.decode(zlib.compress(b"\0" * 100_000))


class TestConfigurationHolder:
    def test_versions_only_grow(self):
        # Guards against a delayed update that reverts a configuration in force.
        active = ActiveConfiguration()
        first = document_of("poa")
        second = first.with_changes(
            {("zones", "cwb"): {**ZONE, "name": "cwb"}}, (), "w"
        )
        assert active.apply(second)
        assert not active.apply(first)
        assert not active.apply(second)
        assert active.document is second

    def test_unchanged_resources_are_shared(self):
        # Guards against checking all resources again after every change.
        active = ActiveConfiguration()
        first = document_of("poa", "cwb")
        active.apply(ConfigurationDocument.decode(first.encode()))
        before = active.document.configuration().zones_by_name
        second = first.with_changes(
            {("zones", "cwb"): {**ZONE, "name": "cwb"}}, (), "w"
        )
        active.apply(ConfigurationDocument.decode(second.encode()))
        after = active.document.configuration().zones_by_name
        assert after["poa"] is before["poa"]
        assert (before["cwb"].region, after["cwb"].region) == ("region", "sul")

    def test_failing_observer_does_not_stop_others(self):
        # Guards against an accepted change that is reported as failed.
        active = ActiveConfiguration()
        seen = []
        active.observe(lambda _: 1 / 0)
        end = active.observe(lambda h: seen.append(h.document.version))
        assert active.apply(document_of("poa"))
        end()
        assert active.apply(active.document.with_changes({}, (), "w"))
        assert seen == [1]

    def test_invalid_document_is_not_applied(self):
        active = ActiveConfiguration()
        bad = ConfigurationDocument().with_changes(
            {("zones", "poa"): {"name": "poa", "colour": 1}}, (), "w"
        )
        with pytest.raises(ValueError):
            active.apply(bad)
        assert active.document.version == 0
