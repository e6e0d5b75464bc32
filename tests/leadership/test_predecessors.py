"""Tests of earlier leaders that may not know that they were replaced."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.leadership.predecessors import Predecessors
from carawaystep.leadership.voter import Voter
from carawaystep.leadership.voter import VoterSet


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

    def test_predecessor_without_a_majority_has_stopped(self) -> None:
        """Guards against tasks of a lost zone that wait for a lost leader."""
        predecessors = Predecessors({"a": 10.0}, 100.0)
        self.assertFalse(predecessors.set_voter_sets([_voters("abcdef")], 100))
        self.assertFalse(predecessors.record_follower("c", 101.0))
        self.assertFalse(predecessors.record_follower("d", 102.0))
        self.assertFalse(predecessors.record_follower("d", 102.5))
        self.assertEqual(110.0, predecessors.stop_time)
        self.assertTrue(predecessors.record_follower("e", 103.0))
        self.assertEqual(103.0, predecessors.stop_time)

    def test_followers_before_the_voters_are_known_count(self) -> None:
        """Guards against followers that are forgotten during a slow load."""
        predecessors = Predecessors({"a": 10.0}, 100.0)
        for address in "bcd":
            self.assertFalse(predecessors.record_follower(address, 101.0))
        self.assertTrue(predecessors.set_voter_sets([_voters("abcd")], 104.0))
        self.assertEqual(104.0, predecessors.stop_time)

    def test_each_set_of_voters_needs_its_own_followers(self) -> None:
        """Guards against one predecessor that still has a majority.

        Which of them counts on which set is not known.
        """
        predecessors = Predecessors({"a": 10.0, "f": 10.0}, 100.0)
        predecessors.set_voter_sets([_voters("abc"), _voters("def")], 100.0)
        for address in "bcg":
            self.assertFalse(predecessors.record_follower(address, 101.0))
        self.assertEqual(110.0, predecessors.stop_time)
        predecessors.record_follower("d", 102.0)
        self.assertTrue(predecessors.record_follower("e", 103.0))
        self.assertEqual(103.0, predecessors.stop_time)

    def test_predecessor_without_voters_has_stopped_at_the_election(
        self,
    ) -> None:
        """Guards against a wait for a leader that had stored no voters."""
        predecessors = Predecessors({"a": 10.0}, 100.0)
        self.assertTrue(predecessors.set_voter_sets([], 100.5))
        self.assertEqual(100.5, predecessors.stop_time)


def _voters(addresses: str) -> VoterSet:
    return frozenset(Voter(address, "p1") for address in addresses)
