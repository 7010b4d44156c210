"""Result codes of links that are rejected or closed."""

from __future__ import annotations

from briarspoke.codes import Kind, register
from briarspoke.errors import CodedError


class LinkError(CodedError):
    """Closes the link whose frame or handshake raised it, with a result code."""


def _code(number, name, meaning):
    return register(number, name, Kind.INTERNAL, 502, meaning)


WRONG_KEY = _code(
    6001, "link-wrong-key", "The peer could not prove that it has the cluster key."
)
OTHER_VERSION = _code(
    6002, "link-other-version", "The peer uses another protocol version."
)
BAD_MAC = _code(
    6003,
    "link-bad-mac",
    "A frame was altered, replayed, dropped or reordered.",
)
OVERSIZED = _code(6004, "link-oversized", "A frame is larger than allowed.")
MALFORMED = _code(6005, "link-malformed", "A frame does not contain a valid message.")
HANDSHAKE_TIMEOUT = _code(
    6006, "link-handshake-timeout", "The peer did not finish the handshake in time."
)
BAD_HANDSHAKE = _code(
    6007, "link-bad-handshake", "The peer did not complete a valid websocket handshake."
)
SLOW_PEER = _code(
    6008, "link-slow-peer", "The peer read too slowly and was disconnected."
)
DUPLICATE_LINK = _code(
    6009, "link-duplicate", "Another link to the same node is kept instead."
)
DUPLICATE_NODE = _code(
    6010, "link-duplicate-node", "Two processes use the same node id."
)
TO_SELF = _code(6011, "link-to-self", "The node dialled one of its own addresses.")
SILENT = _code(6012, "link-silent", "No frame was received from the peer for 3 s.")
TOO_MANY_LINKS = _code(
    6013,
    "link-too-many",
    "The node already has as many open or unauthenticated links as it accepts.",
)
UNKNOWN_TYPE = _code(
    6014, "link-unknown-type", "A message of an unknown type was ignored."
)
UNROUTABLE = _code(
    6015, "link-unroutable", "No link leads to the target; the message was dropped."
)
HANDLER_FAILED = _code(
    6016,
    "link-handler-failed",
    "A message handler raised an exception; the message was dropped.",
)
STOPPED = _code(6017, "link-stopped", "The node is stopping and closes its links.")
UNUSED = _code(
    6018, "link-unused", "The ring changed and the link is no longer needed."
)
PEER_CLOSED = _code(
    6019, "link-peer-closed", "The peer closed the link during the handshake."
)
