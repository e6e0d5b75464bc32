"""Encoding of messages between entry processes."""

from __future__ import annotations

from math import isfinite

from msgspec import MsgspecError
from msgspec.msgpack import Decoder
from msgspec.msgpack import Encoder

from carawaystep.peer.messages import ForwardRequest
from carawaystep.peer.messages import PeerMessage

MAX_MESSAGE_BYTES = 8 * 1024 * 1024

# libzmq closes the connection above this size instead of buffering the
# message. It is larger than MAX_MESSAGE_BYTES so that a message that is
# slightly too large does not close the connection.
MAX_BUFFERED_BYTES = 2 * MAX_MESSAGE_BYTES


class PeerCodec:
    """Encodes the tagged union of peer messages as MessagePack."""

    def __init__(self) -> None:
        """Create the encoder and the decoder."""
        self._encoder = Encoder()
        self._decoder: Decoder[PeerMessage] = Decoder(PeerMessage)

    def encode(self, message: PeerMessage) -> bytes | None:
        """Return the encoded message, None when it is too large."""
        data = self._encoder.encode(message)
        return data if len(data) <= MAX_MESSAGE_BYTES else None

    def decode(self, data: bytes) -> PeerMessage | None:
        """Return the message, None when it is malformed or too large."""
        if len(data) > MAX_MESSAGE_BYTES:
            return None
        try:
            message = self._decoder.decode(data)
        # msgspec raises RecursionError for deep nesting in unknown fields.
        except (MsgspecError, RecursionError):
            return None
        if isinstance(message, ForwardRequest) and not isfinite(
            message.deadline_s
        ):
            return None
        return message
