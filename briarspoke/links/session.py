"""Handshake and frame authentication of one link, without I/O."""

from __future__ import annotations

import hashlib
import hmac

from briarspoke.links import messages, rejections
from briarspoke.links.messages import Hello, MalformedMessageError, Proof
from briarspoke.links.rejections import LinkError

PROTOCOL_VERSION = 1
MAC_BYTES = 16

_PROOF_LABELS = {True: b"briarspoke dialler proof", False: b"briarspoke acceptor proof"}
_SESSION_LABEL = b"briarspoke session key"
# First byte of the MAC input: frames of one direction are not valid in the other.
_DIRECTIONS = {True: b"\x01", False: b"\x02"}


class Session:
    """Authenticates one link with the cluster key.

    The dialler sends its hello, the acceptor answers with its own; the dialler
    proves the key first, then the acceptor. Nothing but these four messages is
    read before the peer has proved the key.

    :param is_dialler: whether this side opened the connection.
    :param hello: this side's :class:`Hello` with a fresh nonce.
    """

    __slots__ = (
        "_cluster_key",
        "_key",
        "_received",
        "_sent",
        "_transcript",
        "hello",
        "is_dialler",
        "is_ready",
        "peer",
    )

    def __init__(self, *, cluster_key, is_dialler, hello):
        self.is_dialler = is_dialler
        self.hello = hello
        self.peer = None
        self.is_ready = False
        self._cluster_key = cluster_key.encode()
        self._transcript = None
        self._key = None
        self._sent = 0
        self._received = 0

    def first(self):
        """Returns the frames to send at once."""
        return [messages.encode(self.hello)] if self.is_dialler else []

    def receive_handshake(self, frame):
        """Takes a frame of the handshake and returns the frames to send.

        :raises LinkError: if the peer has to be rejected.
        """
        if self.peer is None:
            return self._receive_hello(frame)
        return self._receive_proof(frame)

    def _receive_hello(self, frame):
        number, values = _split(frame)
        if number != Hello.NUMBER or not values:
            raise LinkError(rejections.MALFORMED, "the first frame is no hello")
        # The version comes first because other versions may have other fields.
        if values[0] != PROTOCOL_VERSION:
            raise LinkError(rejections.OTHER_VERSION, f"version {values[0]!r:.20}")
        self.peer = _from_fields(Hello, values)
        own = messages.encode(self.hello)
        first, second = (own, frame) if self.is_dialler else (frame, own)
        self._transcript = hashlib.sha256(
            len(first).to_bytes(4, "big") + first + second
        ).digest()
        self._key = self._hmac(_SESSION_LABEL)
        return [self._proof()] if self.is_dialler else [own]

    def _receive_proof(self, frame):
        number, values = _split(frame)
        if number != Proof.NUMBER:
            raise LinkError(rejections.MALFORMED, "the second frame is no proof")
        expected = self._hmac(_PROOF_LABELS[not self.is_dialler])
        if not hmac.compare_digest(_from_fields(Proof, values).mac, expected):
            raise LinkError(rejections.WRONG_KEY)
        self.is_ready = True
        return [] if self.is_dialler else [self._proof()]

    def _proof(self):
        return messages.encode(Proof(mac=self._hmac(_PROOF_LABELS[self.is_dialler])))

    def _hmac(self, label):
        return hmac.digest(self._cluster_key, label + self._transcript, "sha256")

    def seal(self, payload):
        """Returns the next frame to send: MAC and payload."""
        mac = self._mac(self.is_dialler, self._sent, payload)
        self._sent += 1
        return mac + payload

    def open(self, frame):
        """Returns the payload of the next frame received.

        :raises LinkError: if it is not the peer's next frame, unchanged.
        """
        payload = frame[MAC_BYTES:]
        expected = self._mac(not self.is_dialler, self._received, payload)
        if not hmac.compare_digest(bytes(frame[:MAC_BYTES]), expected):
            raise LinkError(rejections.BAD_MAC)
        self._received += 1
        return payload

    def _mac(self, by_dialler, sequence, payload):
        head = _DIRECTIONS[by_dialler] + sequence.to_bytes(8, "big")
        return hmac.digest(self._key, head + payload, "sha256")[:MAC_BYTES]


def _split(frame):
    try:
        return messages.split(frame)
    except MalformedMessageError as error:
        raise LinkError(rejections.MALFORMED, str(error)) from error


def _from_fields(cls, values):
    try:
        return cls.from_fields(values)
    except MalformedMessageError as error:
        raise LinkError(rejections.MALFORMED, str(error)) from error
