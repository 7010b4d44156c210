"""Fingerprints by which all entry VMs recognise a request that is sent again."""

from __future__ import annotations

import hashlib
import logging
import os

from briarspoke.errors import BriarspokeError
from briarspoke.platform.keyvalue import ConditionFailedError

log = logging.getLogger(__name__)

# Random key of all fingerprints. It keeps messages and logs from telling what callers
# have sent, also to a reader who can guess it.
KEY_ITEM = "briarspoke/fingerprint-key"
KEY_BYTES = 32
MAX_KEY_BYTES = 64
CALLER_BYTES = 6
CONTENT_BYTES = 10
FINGERPRINT_BYTES = CALLER_BYTES + CONTENT_BYTES
# Headers by which a server tells one caller from another.
CALLER_HEADERS = (b"authorization", b"cookie")


class Fingerprints:
    """Computes fingerprints with a key that all entry VMs read from the store.

    :param node: the :class:`briarspoke.entry.node.EntryNode`.
    """

    def __init__(self, *, node):
        self._node = node
        # Used until the store's key is known; other VMs do not recognise these.
        self._key = os.urandom(KEY_BYTES)
        self._is_writing = False
        self.is_shared = False
        # Called without arguments after the key has changed.
        self.on_key_changed = lambda: None
        node.view.observe(KEY_ITEM, self._key_changed)

    def _key_changed(self, key, item):
        # A key that is missing from a restored copy stays in use until another is set.
        if key != KEY_ITEM or item is None:
            return
        if not KEY_BYTES <= len(item.value) <= MAX_KEY_BYTES:
            log.warning(
                "requests: fingerprint key not usable bytes=%d", len(item.value)
            )
            return
        if item.value == self._key:
            self.is_shared = True
            return
        self._key = item.value
        self.is_shared = True
        self.on_key_changed()

    def check(self):
        """Writes the key if the store has none and this VM is the controller."""
        node = self._node
        if (
            not self._is_writing
            and node.control.is_leader
            and node.view.reachable
            and KEY_ITEM not in node.view.items
        ):
            self._is_writing = True
            node.spawn(self._write())

    async def _write(self):
        try:
            await self._node.store.write(
                expected={KEY_ITEM: 0}, puts={KEY_ITEM: self._key}
            )
        except ConditionFailedError:
            # Another VM was faster; its key arrives with the next change.
            pass
        except BriarspokeError as error:
            log.info("requests: fingerprint key not written error=%r", str(error))
        finally:
            self._is_writing = False

    def of(self, request):
        """Returns the fingerprint of a request in bytes.

        Two requests have the same one if a server cannot tell them apart but by the
        identifier and the time left of the attempt.

        :param request: the :class:`briarspoke.entry.request.Request`.
        """
        caller = self._hash(CALLER_BYTES)
        for name, value in request.headers:
            if name in CALLER_HEADERS:
                _update(caller, name)
                _update(caller, value)
        content = self._hash(CONTENT_BYTES)
        _update(content, request.method)
        _update(content, request.target)
        _update(content, *request.body.blocks)
        return caller.digest() + content.digest()

    def _hash(self, size):
        return hashlib.blake2b(key=self._key, digest_size=size)


def caller_of(fingerprint):
    """Returns the part of a fingerprint that all requests of its caller share."""
    return fingerprint[:CALLER_BYTES]


def _update(digest, *part):
    # The length separates the parts.
    digest.update(b"%d:" % sum(len(block) for block in part))
    for block in part:
        digest.update(block)
