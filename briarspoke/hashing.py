"""Hash functions with the same results in every process, version and machine."""

from __future__ import annotations

import hashlib
import math

_HASH_SPACE = 1 << 64


def hash64(*parts):
    """Returns a 64-bit BLAKE2b hash of byte strings or strings."""
    digest = hashlib.blake2b(digest_size=8)
    for part in parts:
        data = part if isinstance(part, bytes) else part.encode()
        # The length makes the input of ("ab", "c") and ("a", "bc") different.
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return int.from_bytes(digest.digest(), "big")


def partition_of(key, count):
    """Returns the partition of a key.

    :param key: the key as bytes or str.
    :param count: number of partitions of the service.
    :returns: a number from 0 to ``count - 1``.
    """
    data = key if isinstance(key, bytes) else key.encode()
    digest = hashlib.blake2b(data, digest_size=8).digest()
    return int.from_bytes(digest, "big") % count


def rendezvous(key, weights_by_id):
    """Returns the identifiers in the order of rendezvous hashing.

    :param key: the key to place, as bytes or str.
    :param weights_by_id: positive weight by identifier.
    :returns: list of identifiers, that with the highest score first.
    """

    def score(identifier):
        fraction = (hash64(key, identifier) + 0.5) / _HASH_SPACE
        return -weights_by_id[identifier] / math.log(fraction)

    return sorted(weights_by_id, key=lambda i: (score(i), i), reverse=True)
