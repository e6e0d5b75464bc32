"""Encoding of messages between scheduler processes."""

from __future__ import annotations

from msgspec import MsgspecError
from msgspec.msgpack import Decoder
from msgspec.msgpack import Encoder

from carawaystep.adapters.zmq.message_fragments import Fragment
from carawaystep.adapters.zmq.message_fragments import FragmentAssembler
from carawaystep.adapters.zmq.message_fragments import MAX_FRAME_BYTES
from carawaystep.adapters.zmq.message_fragments import split
from carawaystep.cluster.messages import Message


class ClusterCodec:
    """Encodes the tagged union of cluster messages as MessagePack.

    A message that is too long for one frame is sent in fragments.
    """

    def __init__(self) -> None:
        """Create the encoder and the decoder."""
        self._encoder = Encoder()
        self._decoder: Decoder[Message | Fragment] = Decoder(
            Message | Fragment
        )
        self._assembler = FragmentAssembler()
        self._split_count = 0

    def encode(self, message: Message) -> list[bytes]:
        """Return the frames of a message, to be sent in order."""
        data = self._encoder.encode(message)
        if len(data) <= MAX_FRAME_BYTES:
            return [data]
        self._split_count += 1
        return [
            self._encoder.encode(fragment)
            for fragment in split(self._split_count, data)
        ]

    def decode(self, data: bytes, peer: bytes = b"") -> Message | None:
        """Return the message that a frame completes.

        :param peer: identity of the sender
        :returns: None if the frame is malformed or more are to come
        """
        decoded = self._decode(data)
        if not isinstance(decoded, Fragment):
            return decoded
        complete = self._assembler.add(peer, decoded)
        if complete is None:
            return None
        message = self._decode(complete)
        return None if isinstance(message, Fragment) else message

    def _decode(self, data: bytes) -> Message | Fragment | None:
        try:
            return self._decoder.decode(data)
        # msgspec raises RecursionError for deep nesting in unknown fields.
        except (MsgspecError, RecursionError):
            return None
