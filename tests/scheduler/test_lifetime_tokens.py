"""Tests of the fencing tokens of workers' lifetimes."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.scheduler.lifetime_tokens import LifetimeTokens

_TERM = 7
_FIRST = WorkerKey("w1", 1)
_SECOND = WorkerKey("w1", 2)
_THIRD = WorkerKey("w1", 3)


class LifetimeTokensTest(TestCase):
    """Lifetimes of one worker in one term."""

    def test_each_lifetime_has_a_higher_token(self) -> None:
        """Guards against a start for an earlier lifetime that is executed."""
        tokens = LifetimeTokens(_TERM)
        self.assertEqual(_TERM, tokens.get(_FIRST))
        self.assertIsNone(tokens.get(_SECOND))
        tokens.record_commit(_SECOND, 12)
        self.assertEqual(
            (_TERM, 12), (tokens.get(_FIRST), tokens.get(_SECOND))
        )
        self.assertIsNone(tokens.get(_THIRD))

    def test_token_of_a_lifetime_stays(self) -> None:
        """Guards against members that shut each other out."""
        tokens = LifetimeTokens(_TERM)
        tokens.get(_FIRST)
        tokens.record_commit(_SECOND, 12)
        tokens.record_commit(_SECOND, 15)
        self.assertEqual(12, tokens.get(_SECOND))

    def test_lifetime_after_a_forgotten_one_has_a_higher_token(self) -> None:
        """Guards against the lowest token for a worker that came back."""
        tokens = LifetimeTokens(_TERM)
        tokens.get(_FIRST)
        tokens.forget_all_but([])
        self.assertIsNone(tokens.get(_SECOND))
        self.assertIsNone(tokens.get(_FIRST))
