"""Tests of the limit of connections of strangers."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.intake.stranger_limit import StrangerLimit


class StrangerLimitTest(TestCase):
    """Crowds of strangers at the port between processes."""

    def test_newcomer_replaces_the_oldest_stranger(self) -> None:
        """Guards against strangers that keep out a process."""
        limit = StrangerLimit()
        closed = [limit.accept(number, 0.0) for number in range(6)]
        self.assertEqual([None, None, None, None, 0, 1], closed)

    def test_recognized_connection_stays(self) -> None:
        """Guards against a leader that is taken for a stranger."""
        limit = StrangerLimit()
        limit.accept(7, 0.0)
        limit.accept(8, 0.0)
        limit.recognize(7)
        self.assertEqual([], limit.expire(1.9))
        self.assertEqual([8], limit.expire(2.0))
        self.assertFalse(limit.has_strangers)
