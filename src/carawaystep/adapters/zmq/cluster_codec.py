"""Encoding of messages between scheduler processes."""

from __future__ import annotations

from msgspec import MsgspecError
from msgspec.msgpack import Decoder
from msgspec.msgpack import Encoder

from carawaystep.cluster.messages import Message

MAX_MESSAGE_BYTES = 8 * 1024 * 1024


class ClusterCodec:
    """Encodes the tagged union of cluster messages as MessagePack."""

    def __init__(self) -> None:
        """Create the encoder and the decoder."""
        self._encoder = Encoder()
        self._decoder: Decoder[Message] = Decoder(Message)

    def encode(self, message: Message) -> bytes:
        """Return the encoded message."""
        return self._encoder.encode(message)

    def decode(self, data: bytes) -> Message | None:
        """Return the message, None when it is malformed."""
        try:
            return self._decoder.decode(data)
        # msgspec raises RecursionError for deep nesting in unknown fields.
        except (MsgspecError, RecursionError):
            return None
