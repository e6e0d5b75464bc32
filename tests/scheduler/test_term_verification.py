"""Tests of the stored voters of a term."""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.leadership.predecessors import Predecessors
from carawaystep.leadership.voter import Voter
from carawaystep.scheduler.term_verification import TermVerification

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawaystep.leadership.voter import VoterSet

_OLD = frozenset({Voter("a", "p1"), Voter("b", "p1")})
_NEW = frozenset({Voter("b", "p1"), Voter("c", "p1")})


class _Repository:
    """Keeps the voters in memory, or fails to store them."""

    def __init__(self) -> None:
        self.sets: list[VoterSet] | None = [_OLD]
        self.fails = False

    async def load(self) -> list[VoterSet] | None:
        return self.sets

    async def store(self, sets: Sequence[VoterSet]) -> bool:
        if not self.fails:
            self.sets = list(sets)
        return not self.fails


class TermVerificationTest(TestCase):
    """A term that begins at 100 s after a leader with two voters."""

    def setUp(self) -> None:
        """Create a term whose predecessor may act until 110 s."""
        super().setUp()
        self.repository = _Repository()
        self.verification = TermVerification(
            self.repository,  # type: ignore[arg-type]
            Predecessors({"a": 10.0}, 100.0),
        )

    def _load(self) -> None:
        asyncio.run(self.verification.load())

    def _update(self, *times: float) -> None:
        for now in times:
            asyncio.run(self.verification.update(now))

    def _answer(self, now: float, *addresses: str) -> None:
        for address in addresses:
            self.verification.record_answer(address, "p1", now, now)

    def test_voters_of_predecessors_stay_stored(self) -> None:
        """Guards against a predecessor that the next leader forgets."""
        self._load()
        self._answer(100.5, "b", "c")
        self._update(100.5, 101.0)
        self.assertEqual([_OLD, _NEW], self.repository.sets)
        self._answer(111.0, "b", "c")
        self._update(111.0)
        self.assertEqual([_NEW], self.repository.sets)

    def test_voters_that_are_not_stored_for_certain_do_not_count(self) -> None:
        """Guards against a majority of voters that a successor ignores."""
        self._load()
        self.repository.fails = True
        self._answer(100.5, "b", "c")
        self._update(100.5, 101.0)
        self.assertEqual(-inf, self.verification.verified_at)
        self.repository.fails = False
        self._update(101.1)
        self.assertEqual(100.5, self.verification.verified_at)

    def test_silent_member_stays_a_voter_for_some_time(self) -> None:
        """Guards against a cut-off zone whose members are the only voters."""
        self._load()
        self._answer(100.5, "b", "c")
        self._answer(108.0, "c")
        self._update(108.0, 108.5)
        self.assertEqual([_OLD, _NEW], self.repository.sets)
        self._answer(111.0, "c")
        self._update(111.0, 111.5)
        self.assertEqual([frozenset({Voter("c", "p1")})], self.repository.sets)

    def test_process_of_an_earlier_version_is_no_voter(self) -> None:
        """Guards against votes that do not say which process gives them."""
        self._load()
        self.verification.record_answer("a", "", 100.5, 100.5)
        self._update(100.5, 101.0)
        self.assertEqual([_OLD], self.repository.sets)

    def test_unreadable_voters_are_kept_until_predecessors_end(self) -> None:
        """Guards against a next leader that trusts the wrong voters."""
        self.repository.sets = None
        self._load()
        self._answer(105.0, "b", "c")
        self._update(105.0, 106.0)
        self.assertIsNone(self.repository.sets)
        self._answer(111.0, "b", "c")
        self._update(111.0, 111.5)
        self.assertEqual([_NEW], self.repository.sets)
