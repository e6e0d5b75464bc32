"""Tests of messages that are sent in fragments."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.adapters.zmq.message_fragments import Fragment
from carawaystep.adapters.zmq.message_fragments import FragmentAssembler
from carawaystep.adapters.zmq.message_fragments import MAX_MESSAGE_BYTES
from carawaystep.adapters.zmq.message_fragments import split

_DATA = bytes(range(256)) * 1000


class FragmentAssemblerTest(TestCase):
    """Fragments that arrive, are missing or never end."""

    def setUp(self) -> None:
        """Create an assembler."""
        super().setUp()
        self.assembler = FragmentAssembler()

    def _add_all(
        self, fragments: list[Fragment], peer: bytes = b"a"
    ) -> list[bytes]:
        added = [self.assembler.add(peer, part) for part in fragments]
        return [message for message in added if message is not None]

    def test_messages_of_two_peers_are_joined(self) -> None:
        """Guards against fragments of one peer in a message of another."""
        first = split(1, _DATA)
        second = split(1, _DATA[::-1])
        self.assertEqual([], self._add_all(first[:-1], b"a"))
        self.assertEqual([_DATA[::-1]], self._add_all(second, b"b"))
        self.assertEqual([_DATA], self._add_all(first[-1:], b"a"))
        self.assertEqual(0, self.assembler.held_bytes)

    def test_message_with_a_missing_fragment_is_dropped(self) -> None:
        """Guards against a message that is joined with a gap."""
        fragments = split(1, _DATA)
        self.assertEqual([], self._add_all(fragments[:1] + fragments[2:]))
        self.assertEqual([_DATA], self._add_all(split(2, _DATA)))

    def test_unfinished_messages_of_many_peers_are_bounded(self) -> None:
        """Guards against memory that grows with each stranger."""
        fragments = split(1, b"x" * MAX_MESSAGE_BYTES)
        for peer in range(200):
            self._add_all(fragments[:-1], str(peer).encode())
            self.assertLessEqual(
                self.assembler.held_bytes, 2 * MAX_MESSAGE_BYTES
            )

    def test_malformed_fragments_hold_nothing(self) -> None:
        """Guards against fragments that no sender makes."""
        for fragment in (
            Fragment(1, 0, 0, b"x"),
            Fragment(1, 0, 10**6, b"x"),
            Fragment(1, 1, 2, b"x"),
            Fragment(1, -1, 2, b"x"),
        ):
            self.assertIsNone(self.assembler.add(b"a", fragment))
            self.assertEqual(0, self.assembler.held_bytes)
