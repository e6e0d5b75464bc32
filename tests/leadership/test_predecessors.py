"""Tests of earlier leaders that may not know that they were replaced."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.leadership.predecessors import Predecessors


class PredecessorsTest(TestCase):
    """Predecessors of one term, which starts at 100 s."""

    def test_all_of_them_have_to_follow_the_term(self) -> None:
        """Guards against a shorter wait while one of them may still act."""
        predecessors = Predecessors({"a": 10.0, "b": 6.0}, 100.0)
        self.assertEqual(110.0, predecessors.stop_time)
        self.assertFalse(predecessors.record_follower("c", 101.0))
        self.assertEqual(110.0, predecessors.stop_time)
        self.assertFalse(predecessors.record_follower("a", 102.0))
        self.assertEqual(106.0, predecessors.stop_time)
        self.assertFalse(predecessors.record_follower("a", 103.0))
        self.assertTrue(predecessors.record_follower("b", 104.0))
        self.assertEqual(104.0, predecessors.stop_time)
        self.assertFalse(predecessors.record_follower("b", 105.0))
        self.assertEqual(104.0, predecessors.stop_time)

    def test_late_follower_does_not_prolong_its_lease(self) -> None:
        """Guards against a wait that outlasts the lease of a predecessor."""
        predecessors = Predecessors({"a": 10.0}, 100.0)
        self.assertTrue(predecessors.record_follower("a", 120.0))
        self.assertEqual(110.0, predecessors.stop_time)

    def test_unknown_predecessor_never_follows(self) -> None:
        """Guards against a shorter wait for a leader without an address."""
        predecessors = Predecessors({"a": 10.0, "": 10.0}, 100.0)
        self.assertFalse(predecessors.record_follower("a", 101.0))
        self.assertEqual(110.0, predecessors.stop_time)

    def test_first_leader_has_no_predecessor(self) -> None:
        """Guards against a wait for leases that nobody granted."""
        self.assertEqual(100.0, Predecessors({}, 100.0).stop_time)
