from __future__ import annotations

from briarspoke.hashing import partition_of, rendezvous


class TestPartitionOf:
    def test_is_stable(self):
        # Guards against a change of the hash, which would move every key at an upgrade.
        assert [partition_of(f"key-{n}", 256) for n in range(4)] == [55, 223, 74, 217]

    def test_text_and_bytes_agree(self):
        assert partition_of("ä", 64) == partition_of("ä".encode(), 64)


class TestRendezvous:
    def test_removal_moves_only_keys_of_the_removed_node(self):
        # Guards against moving servers to another gateway although theirs is not the
        # entry VM that was lost.
        weights = {f"entry-{n}": 1.0 for n in range(5)}
        fewer = {name: 1.0 for name in weights if name != "entry-2"}
        for number in range(200):
            before = rendezvous(f"server-{number}", weights)[0]
            after = rendezvous(f"server-{number}", fewer)[0]
            assert before in ("entry-2", after)

    def test_weight_is_respected(self):
        weights = {"small": 1.0, "large": 3.0}
        large = sum(rendezvous(f"k{n}", weights)[0] == "large" for n in range(2000))
        assert 1400 < large < 1600
