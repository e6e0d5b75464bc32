"""Tests of earlier leaders that may not know that they were replaced."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.leadership.predecessors import Predecessors


class PredecessorsTest(TestCase):
    """Predecessors of one term."""

    def test_all_of_them_have_to_follow_the_term(self) -> None:
        """Guards against a shorter wait while one of them may still act."""
        predecessors = Predecessors(["a", "b"])
        self.assertFalse(predecessors.record_follower("c"))
        self.assertFalse(predecessors.record_follower("a"))
        self.assertFalse(predecessors.record_follower("a"))
        self.assertTrue(predecessors.record_follower("b"))
        self.assertFalse(predecessors.record_follower("b"))

    def test_unknown_predecessor_never_follows(self) -> None:
        """Guards against a shorter wait for a leader without an address."""
        predecessors = Predecessors(["a", ""])
        self.assertFalse(predecessors.record_follower("a"))
