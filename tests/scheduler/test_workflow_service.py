"""Tests of the states that are read without the leader."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from result import Err
from result import Ok
from testtools import TestCase

from carawaystep.leadership.leadership import Leadership
from carawaystep.scheduler import tables
from carawaystep.scheduler.admission import Admission
from carawaystep.scheduler.call_outcome import CallOutcome
from carawaystep.scheduler.load_settings import LoadSettings
from carawaystep.scheduler.store_health import StoreHealth
from carawaystep.scheduler.workflow_service import WorkflowService
from carawaystep.store.row import Row
from carawaystep.store.table_failure import TableRejected
from carawaystep.workflow.workflow_state import WorkflowState
from tests.planner.planners import RecordingLog
from tests.workflow.workflows import workflow_spec

_ID = "5c0e7a21d94b36f8"
_ENDED = {tables.ENDED: {"state": WorkflowState.DONE.value}}


class _Clock:
    def now(self) -> float:
        return 10.0


class _Store:
    """Rows of one workflow, replaced by others after a number of reads."""

    def __init__(
        self,
        rows: dict[str, dict[str, object]],
        later_rows: dict[str, dict[str, object]],
        reads_before: int,
    ) -> None:
        self._rows = rows
        self._later_rows = later_rows
        self._reads_before = reads_before

    async def get(self, table: str, key: str) -> Ok[Row | None]:
        rows = self._rows if self._reads_before > 0 else self._later_rows
        self._reads_before -= 1
        value = rows.get(table)
        return Ok(None if value is None else Row(key, value, 1, 1))


class WorkflowServiceTest(TestCase):
    """States in the store while no leader is reachable."""

    def _state(self, store: _Store) -> WorkflowState | None:
        log = RecordingLog()
        service = WorkflowService(
            SimpleNamespace(published_states={}),  # type: ignore[arg-type]
            Leadership("edge-1", 1.0, 10.0),
            store,  # type: ignore[arg-type]
            _Clock(),  # type: ignore[arg-type]
            StoreHealth(log, 10.0),
        )
        return asyncio.run(service.state(_ID)).unwrap()

    def test_rows_that_do_not_change(self) -> None:
        """Guards against a state that the rows do not say."""
        submitted: dict[str, dict[str, object]] = {tables.SUBMISSIONS: {}}
        for rows, expected in (
            ({}, None),
            (submitted, WorkflowState.PENDING),
            ({**submitted, tables.PROGRESS: {}}, WorkflowState.RUNNING),
            (_ENDED, WorkflowState.DONE),
        ):
            self.assertEqual(expected, self._state(_Store(rows, rows, 0)))

    def test_workflow_that_is_settled_between_two_reads(self) -> None:
        """Guards against a running workflow that is shown as pending.

        Settling removes the rows of the submission and of the progress.
        """
        rows: dict[str, dict[str, object]] = {
            tables.SUBMISSIONS: {},
            tables.PROGRESS: {},
        }
        states = [self._state(_Store(rows, _ENDED, reads)) for reads in (0, 1)]
        self.assertEqual([WorkflowState.DONE] * 2, states)

    def test_rejected_submission_is_invalid(self) -> None:
        """Guards against telling a caller to repeat what is never stored."""

        class RejectingStore:
            async def transact(self, operations: object) -> object:
                return Err(TableRejected("status 400"))

        log = RecordingLog()
        member = SimpleNamespace(
            published_states={}, admission=Admission(LoadSettings())
        )
        service = WorkflowService(
            member,  # type: ignore[arg-type]
            Leadership("edge-1", 1.0, 10.0),
            RejectingStore(),  # type: ignore[arg-type]
            _Clock(),  # type: ignore[arg-type]
            StoreHealth(log, 10.0),
        )
        answer = asyncio.run(service.submit(workflow_spec()))
        self.assertEqual(CallOutcome.INVALID, answer.outcome)
