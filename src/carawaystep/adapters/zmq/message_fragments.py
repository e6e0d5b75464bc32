"""Fragments of messages that are too long for one frame.

libzmq allocates a frame before it has arrived, also for a peer that never
finishes it. With short frames, peers in any number hold little memory.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

import msgspec

MAX_FRAME_BYTES = 65_536
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
# The rest of a frame is for the other fields of a fragment.
_MAX_FRAGMENT_BYTES = MAX_FRAME_BYTES - 64
_MAX_FRAGMENTS = -(-MAX_MESSAGE_BYTES // _MAX_FRAGMENT_BYTES)
# Unfinished messages of all peers together.
_MAX_HELD_BYTES = 2 * MAX_MESSAGE_BYTES
_MAX_UNFINISHED = 64


class Fragment(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """One part of an encoded message.

    :param message: number that the sender gave the message
    :param index: number of the part, from 0 on
    :param count: number of parts of the message
    """

    message: int
    index: int
    count: int
    data: bytes


@dataclass(slots=True)
class _Unfinished:
    message: int
    count: int
    parts: list[bytes] = field(default_factory=list)

    @property
    def size(self) -> int:
        return sum(len(part) for part in self.parts)

    def continues_with(self, fragment: Fragment) -> bool:
        return (
            fragment.message == self.message
            and fragment.count == self.count
            and fragment.index == len(self.parts)
        )


def split(number: int, data: bytes) -> list[Fragment]:
    """Return the fragments of an encoded message.

    :param number: number of the message
    """
    starts = range(0, len(data), _MAX_FRAGMENT_BYTES)
    return [
        Fragment(
            number,
            index,
            len(starts),
            data[start : start + _MAX_FRAGMENT_BYTES],
        )
        for index, start in enumerate(starts)
    ]


class FragmentAssembler:
    """Joins the fragments of messages, which arrive in order.

    A peer has one unfinished message at a time. If a fragment is missing, its
    message is dropped. Above the limit of the memory, the message that was
    begun first is dropped.
    """

    def __init__(self) -> None:
        """Create an assembler without fragments."""
        self._unfinished: dict[bytes, _Unfinished] = {}
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the size of all unfinished messages."""
        return self._held_bytes

    def add(self, peer: bytes, fragment: Fragment) -> bytes | None:
        """Add a fragment.

        :param peer: identity of the sender
        :returns: the encoded message if it is complete
        """
        if fragment.index == 0:
            self._drop(peer)
            if not 0 < fragment.count <= _MAX_FRAGMENTS:
                return None
            self._unfinished[peer] = _Unfinished(
                fragment.message, fragment.count
            )
        unfinished = self._unfinished.get(peer)
        if unfinished is None or not unfinished.continues_with(fragment):
            self._drop(peer)
            return None
        unfinished.parts.append(fragment.data)
        self._held_bytes += len(fragment.data)
        if len(unfinished.parts) == unfinished.count:
            self._drop(peer)
            return b"".join(unfinished.parts)
        while (
            self._held_bytes > _MAX_HELD_BYTES
            or len(self._unfinished) > _MAX_UNFINISHED
        ):
            self._drop(next(iter(self._unfinished)))
        return None

    def _drop(self, peer: bytes) -> None:
        unfinished = self._unfinished.pop(peer, None)
        if unfinished is not None:
            self._held_bytes -= unfinished.size
