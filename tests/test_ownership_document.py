from __future__ import annotations

import pytest

from briarspoke.errors import InvariantError
from briarspoke.ownership.document import OwnershipDocument, Partition, State


class TestOwnershipDocument:
    def test_round_trip(self):
        document = OwnershipDocument.empty("tabela", 3).with_changes(
            {
                0: Partition(owner="a", epoch=1),
                2: Partition(owner="b", epoch=4, state=State.MOVING),
            },
            "w1",
        )
        decoded = OwnershipDocument.decode(document.encode())
        assert decoded.partitions == document.partitions
        assert (decoded.service, decoded.version, decoded.write_ids) == (
            "tabela",
            1,
            ("w1",),
        )

    def test_new_owner_needs_a_higher_epoch(self):
        # Servers could not distinguish two owners with the same epoch.
        document = OwnershipDocument.empty("s", 1).with_changes(
            {0: Partition(owner="a", epoch=1)}, "w1"
        )
        with pytest.raises(InvariantError):
            document.with_changes({0: Partition(owner="b", epoch=1)}, "w2")

    @pytest.mark.parametrize("data", [b"", b"\x80", b"\x01", b"\xff" * 9])
    def test_malformed_data_is_rejected(self, data):
        with pytest.raises(ValueError):
            OwnershipDocument.decode(data)
