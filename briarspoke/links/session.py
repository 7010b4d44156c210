"""Handshake and frame authentication of one link, without I/O."""

from __future__ import annotations

import hashlib
import hmac

from briarspoke.links import messages, rejections
from briarspoke.links.messages import Hello, MalformedMessageError, Proof
from briarspoke.links.rejections import LinkError

PROTOCOL_VERSION = 1
MAC_BYTES = 16

# The two proofs differ, so that a peer cannot return the proof that it received.
_PROOF_LABELS = {True: b"briarspoke dialler proof", False: b"briarspoke acceptor proof"}
_SESSION_LABEL = b"briarspoke session key"
# First byte of the MAC input, by whether the dialler sends the frame. It prevents a
# frame from being reflected to its sender.
_DIRECTIONS = {True: b"\x01", False: b"\x02"}


class Session:
    """Authenticates one link with the cluster key.

    The dialler sends its hello and the acceptor answers with its own. Then the
    dialler sends its proof of the key, and the acceptor answers with its own. Only
    these four messages are read until the peer has proved that it has the key.

    :param cluster_key: secret shared by all entry VMs, as text.
    :param is_dialler: whether this side opened the connection.
    :param hello: this side's :class:`Hello` with a fresh nonce.
    :ivar peer: the peer's :class:`Hello`, None until it is received.
    :ivar is_ready: whether the peer has proved that it has the cluster key.
    """

    __slots__ = (
        "_cluster_key",
        "_frames_received",
        "_frames_sent",
        "_session_key",
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
        self._session_key = None
        self._frames_sent = 0
        self._frames_received = 0

    def initial_frames(self):
        """Returns the frames to send as soon as the connection is open."""
        return [messages.encode(self.hello)] if self.is_dialler else []

    def receive_handshake(self, frame):
        """Processes a handshake frame and returns the frames to send in response.

        :raises LinkError: if the frame is invalid or the peer has another key or
            protocol version.
        """
        if self.peer is None:
            return self._receive_hello(frame)
        return self._receive_proof(frame)

    def _receive_hello(self, frame):
        number, values = _decode_unchecked(frame)
        if number != Hello.NUMBER or not values:
            raise LinkError(rejections.MALFORMED, "the first frame is not a hello")
        # Checked before the other fields, which may differ between versions.
        if values[0] != PROTOCOL_VERSION:
            raise LinkError(rejections.OTHER_VERSION, f"version {values[0]!r:.20}")
        self.peer = _from_fields(Hello, values)
        own = messages.encode(self.hello)
        dialler_hello, acceptor_hello = (
            (own, frame) if self.is_dialler else (frame, own)
        )
        self._transcript = hashlib.sha256(
            len(dialler_hello).to_bytes(4, "big") + dialler_hello + acceptor_hello
        ).digest()
        self._session_key = self._hmac(_SESSION_LABEL)
        return [self._proof()] if self.is_dialler else [own]

    def _receive_proof(self, frame):
        number, values = _decode_unchecked(frame)
        if number != Proof.NUMBER:
            raise LinkError(rejections.MALFORMED, "the second frame is not a proof")
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
        """Returns the next frame to send, which is the MAC followed by the payload."""
        mac = self._mac(self.is_dialler, self._frames_sent, payload)
        self._frames_sent += 1
        return mac + payload

    def open(self, frame):
        """Returns the payload of a received frame after checking its MAC.

        :raises LinkError: if the frame is altered, replayed or out of order.
        """
        payload = frame[MAC_BYTES:]
        expected = self._mac(not self.is_dialler, self._frames_received, payload)
        if not hmac.compare_digest(bytes(frame[:MAC_BYTES]), expected):
            raise LinkError(rejections.BAD_MAC)
        self._frames_received += 1
        return payload

    def _mac(self, by_dialler, sequence, payload):
        header = _DIRECTIONS[by_dialler] + sequence.to_bytes(8, "big")
        return hmac.digest(self._session_key, header + payload, "sha256")[:MAC_BYTES]


def _decode_unchecked(frame):
    try:
        return messages.decode_unchecked(frame)
    except MalformedMessageError as error:
        raise LinkError(rejections.MALFORMED, str(error)) from error


def _from_fields(cls, values):
    try:
        return cls.from_fields(values)
    except MalformedMessageError as error:
        raise LinkError(rejections.MALFORMED, str(error)) from error
