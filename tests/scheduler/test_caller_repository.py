"""Tests of the stored callers of workers."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING

from result import Err
from testtools import ExpectedException
from testtools import TestCase

from carawaystep.scheduler import tables
from carawaystep.scheduler.caller_repository import CallerRepository
from carawaystep.scheduler.store_health import StoreHealth
from carawaystep.scheduler.term_ended import TermEnded
from carawaystep.store.operation import CheckRow
from carawaystep.store.operation import PutRow
from carawaystep.store.table_failure import TableOutcomeUnknown
from tests.planner.planners import RecordingLog
from tests.scheduler.simulation.simulated_store import SimulatedStore

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawaystep.store.operation import Operation

_MEMBER = frozenset({"tcp://edge-1"})
_OTHER_MEMBER = frozenset({"tcp://edge-2"})


class _Store:
    """Applies transactions, and loses the answers to some."""

    def __init__(self) -> None:
        self.tables = SimulatedStore()
        self.answers_to_lose = 0
        self.entry_counts: list[int] = []

    async def transact(self, operations: Sequence[Operation]) -> object:
        self.entry_counts.append(
            sum(
                (operation.expected is not None)
                + (not isinstance(operation, CheckRow))
                for operation in operations
            )
        )
        result = self.tables.transact(operations)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return Err(TableOutcomeUnknown("no answer"))
        return result

    async def changes(self, table: str, since: int) -> object:
        return self.tables.read(table, since)


class CallerRepositoryTest(TestCase):
    """Callers that are stored in one term and loaded in the next."""

    def setUp(self) -> None:
        """Elect a leader."""
        super().setUp()
        self.store = _Store()
        self.repository = self._elect()

    def _elect(self) -> CallerRepository:
        put = PutRow(tables.CONTROL, tables.LEADER_KEY, None, {})
        self.store.tables.transact([put])
        log = RecordingLog()
        return CallerRepository(
            SimpleNamespace(  # type: ignore[arg-type]
                store=self.store,
                clock=SimpleNamespace(now=lambda: 0.0),
                log=log,
            ),
            StoreHealth(log, 0.0),
            self.store.tables.version,
        )

    def _store(self, callers: dict[str, frozenset[str]]) -> object:
        return asyncio.run(self.repository.store(callers))

    def test_next_leader_loads_what_is_stored(self) -> None:
        """Guards against a new leader that does not know a caller."""
        callers = {f"w{number}": _MEMBER for number in range(120)}
        self.assertEqual(callers, self._store(callers))
        self.assertLessEqual(max(self.store.entry_counts), 100)
        self._store({"w0": frozenset(), "w1": _MEMBER | _OTHER_MEMBER})
        del callers["w0"]
        callers["w1"] = _MEMBER | _OTHER_MEMBER
        self.assertEqual(callers, asyncio.run(self._elect().load()))

    def test_replaced_leader_stores_no_caller(self) -> None:
        """Guards against a caller of which the next leader does not know."""
        later = self._elect()
        with ExpectedException(TermEnded):
            self._store({"w1": _MEMBER})
        self.assertEqual({}, asyncio.run(later.load()))

    def test_lost_answer_is_no_proof(self) -> None:
        """Guards against a call by a member that may not be stored.

        The next attempt meets the version that the first has written.
        """
        self.store.answers_to_lose = 1
        self.assertEqual({}, self._store({"w1": _MEMBER}))
        self.assertEqual({}, self._store({"w1": _MEMBER}))
        self.assertEqual({"w1": _MEMBER}, self._store({"w1": _MEMBER}))

    def test_unreadable_row_is_replaced(self) -> None:
        """Guards against a row with which no member can be assigned."""
        put = PutRow(tables.CALLERS, "w1", None, {"addresses": 5})
        self.store.tables.transact([put])
        self.assertEqual({}, asyncio.run(self.repository.load()))
        self.assertEqual({"w1": _MEMBER}, self._store({"w1": _MEMBER}))
