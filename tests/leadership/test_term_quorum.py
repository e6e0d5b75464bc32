"""Tests of the majority that confirms a term."""

from __future__ import annotations

from math import inf

from testtools import TestCase

from carawaystep.leadership.term_quorum import TermQuorum
from carawaystep.leadership.voter import Voter

_A, _B, _C, _D = (Voter(name, "p1") for name in "abcd")


class TermQuorumTest(TestCase):
    """Answers of the voters of one term."""

    def test_majority_has_to_answer(self) -> None:
        """Guards against a leader that is confirmed by its own zone."""
        quorum = TermQuorum([frozenset({_A, _B, _C, _D})])
        quorum.record_answer(_A, 5.0)
        quorum.record_answer(_B, 7.0)
        self.assertEqual(-inf, quorum.verified_at)
        quorum.record_answer(_C, 6.0)
        self.assertEqual(5.0, quorum.verified_at)
        quorum.record_answer(_A, 4.0)
        self.assertEqual(5.0, quorum.verified_at)
        quorum.record_answer(_A, 8.0)
        self.assertEqual(6.0, quorum.verified_at)

    def test_restarted_process_is_no_voter(self) -> None:
        """Guards against a vote of a process that forgot its term.

        The one before it may have followed a new leader.
        """
        quorum = TermQuorum([frozenset({_A})])
        quorum.record_answer(Voter("a", "p2"), 5.0)
        self.assertEqual(-inf, quorum.verified_at)

    def test_nobody_is_counted_on_before_voters_are_stored(self) -> None:
        """Guards against voters that a successor does not know."""
        quorum = TermQuorum([])
        quorum.record_answer(_A, 5.0)
        self.assertEqual(-inf, quorum.verified_at)
        quorum.propose(frozenset({_A}))
        quorum.accept(frozenset({_A}))
        self.assertEqual(5.0, quorum.verified_at)

    def test_each_set_that_may_be_stored_needs_a_majority(self) -> None:
        """Guards against a set whose write had no answer and failed."""
        quorum = TermQuorum([frozenset({_A})])
        quorum.propose(frozenset({_B}))
        quorum.record_answer(_B, 5.0)
        self.assertEqual(-inf, quorum.verified_at)
        quorum.record_answer(_A, 4.0)
        self.assertEqual(4.0, quorum.verified_at)
        quorum.accept(frozenset({_B}))
        self.assertEqual(5.0, quorum.verified_at)
