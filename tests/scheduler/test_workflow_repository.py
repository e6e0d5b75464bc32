"""Tests of commits that conflict, are too large or lose their answer."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from typing import TYPE_CHECKING
from unittest.mock import AsyncMock
from unittest.mock import patch

import msgspec
from result import Err
from result import Ok
from testtools import ExpectedException
from testtools import TestCase

from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.planner.changes import Changes
from carawaystep.scheduler import tables
from carawaystep.scheduler.node_settings import NodeSettings
from carawaystep.scheduler.store_health import StoreHealth
from carawaystep.scheduler.term_ended import TermEnded
from carawaystep.scheduler.workflow_repository import insert_submission
from carawaystep.scheduler.workflow_repository import WorkflowRepository
from carawaystep.store.operation import CheckRow
from carawaystep.store.operation import PutRow
from carawaystep.store.row import Row
from carawaystep.store.table_changes import TableChanges
from carawaystep.store.table_commit import TableCommit
from carawaystep.store.table_failure import TableConflict
from carawaystep.store.table_failure import TableOutcomeUnknown
from carawaystep.store.table_failure import TableRefused
from carawaystep.store.table_failure import TableRejected
from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.task_ref import TaskRef
from carawaystep.workflow.workflow import Workflow
from carawaystep.workflow.workflow_record import TaskRecord
from carawaystep.workflow.workflow_record import WorkflowRecord
from carawaystep.workflow.workflow_state import WorkflowState
from tests.planner.planners import new_planner
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import RecordingLog
from tests.planner.planners import report
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawaystep.fleet.order import Order
    from carawaystep.planner.planner import Planner
    from carawaystep.store.operation import Operation

_SETTINGS = NodeSettings("edge-1", "zone", 1.0, "tcp://127.0.0.1:1", 6.0, 0.1)
_SPEC = workflow_spec()
_OK = Ok(TableCommit(40, ()))


class _Clock:
    def now(self) -> float:
        return 10.0


class _Store:
    """Returns prepared answers in order and records the transactions."""

    def __init__(self, *answers: object) -> None:
        self._answers = list(answers)
        self.transactions: list[Sequence[Operation]] = []

    async def transact(self, operations: Sequence[Operation]) -> object:
        self.transactions.append(operations)
        return self._answers.pop(0)


class _StoredTables:
    """Returns the rows of each table, at increasing revisions."""

    def __init__(self, values: dict[str, dict[str, object]]) -> None:
        self._values = values
        self._revision = 50

    async def changes(self, table: str, since: int) -> object:
        self._revision += 1
        rows = tuple(
            Row(key, value, 9, 9)
            for key, value in self._values.get(table, {}).items()
        )
        return Ok(TableChanges(rows, self._revision, more=False))


def _conflict(table: str, key: str, version: int) -> object:
    return Err(TableConflict("conflict", {(table, key): version}))


def _repository(
    store: _Store | _StoredTables | AsyncMock,
) -> WorkflowRepository:
    return WorkflowRepository(
        _SETTINGS,
        store,  # type: ignore[arg-type]
        _Clock(),  # type: ignore[arg-type]
        StoreHealth(RecordingLog(), 0.0),
        RecordingLog(),
        7,
    )


class _SelectiveStore:
    """Rejects transactions with a row of a workflow's progress."""

    def __init__(self, rejected_id: str, rejections: int = 1000) -> None:
        self._rejected_row = (tables.PROGRESS, rejected_id)
        self._rejections = rejections
        self.rows: dict[tuple[str, str], object] = {}
        self.transaction_count = 0

    async def transact(self, operations: Sequence[Operation]) -> object:
        self.transaction_count += 1
        puts = {
            (operation.table, operation.key): operation.value
            for operation in operations
            if isinstance(operation, PutRow)
        }
        if self._rejected_row in puts and self._rejections:
            self._rejections -= 1
            return Err(TableRejected("status 400"))
        self.rows.update(puts)
        return _OK


class InsertSubmissionTest(TestCase):
    """A submission that a member stores without the leader."""

    def _insert(self, answer: object) -> object:
        store = _Store(answer)
        return asyncio.run(
            insert_submission(store, _SPEC)  # type: ignore[arg-type]
        )

    def test_submission_that_the_store_has_is_stored(self) -> None:
        """Guards against an error for a repeated submission."""
        for table in (tables.SUBMISSIONS, tables.ENDED):
            answer = _conflict(table, _SPEC.id, 3)
            self.assertEqual(Ok(None), self._insert(answer))

    def test_insert_requires_that_the_workflow_has_not_ended(self) -> None:
        """Guards against work that runs again after a lost answer.

        The caller repeats the submission, or the store applies it late.
        """
        store = _Store(Ok(TableCommit(9, (9, 9))))
        asyncio.run(insert_submission(store, _SPEC))  # type: ignore[arg-type]
        (operations,) = store.transactions
        self.assertIn(CheckRow(tables.ENDED, _SPEC.id, 0), operations)
        expected = [o.expected for o in operations if isinstance(o, PutRow)]
        self.assertEqual([0], expected)

    def test_conflict_without_rows_proves_nothing(self) -> None:
        """Guards against accepting a submission that is not stored."""
        result = self._insert(Err(TableConflict("no rows", {})))
        self.assertIsInstance(result, Err)


class LoadTest(TestCase):
    """The stored state from which a term starts."""

    def _load(self, values: dict[str, dict[str, object]]) -> Planner:
        planner = new_planner()
        planner.update_worker_list([worker_record("w1")], 0.0)
        planner.handle_report(report("w1"), 0.0)
        asyncio.run(_repository(_StoredTables(values)).load(planner))
        return planner

    def test_stored_cancellation_is_applied_before_the_first_plan(
        self,
    ) -> None:
        """Guards against starts of a cancelled workflow in a new term."""
        planner = self._load(
            {
                tables.SUBMISSIONS: {_SPEC.id: msgspec.to_builtins(_SPEC)},
                tables.CANCELS: {_SPEC.id: {"cancelled": True}},
            }
        )
        self.assertEqual([], plan_and_take_starts(planner))
        self.assertEqual(WorkflowState.CANCELLED, planner.state(_SPEC.id))

    def test_unreadable_rows_end_no_term_and_start_nothing(self) -> None:
        """Guards against a row with which no term can start.

        Without its progress, a workflow would start its runs again.
        """
        spec = msgspec.to_builtins(_SPEC)
        for odd in ({}, {"tasks": 5}, {"tasks": [[0, 0, 0, "placed"]]}):
            planner = self._load(
                {
                    tables.SUBMISSIONS: {_SPEC.id: spec, "odd": odd},
                    tables.PROGRESS: {_SPEC.id: odd},
                    tables.ENDED: {"b" * 16: odd, "c" * 16: {"state": "?"}},
                }
            )
            self.assertEqual([], plan_and_take_starts(planner), str(odd))

    def test_progress_of_another_submission_with_the_id_is_skipped(
        self,
    ) -> None:
        """Guards against stored rows with which no term can start.

        A caller may submit different steps under one id at two nodes; one
        is stored, and the leader may have placed tasks of the other.
        """
        other = workflow_spec(StepSpec(1), StepSpec(3))
        placed = Workflow(other)
        for step, index in ((0, 0), (1, 2)):
            ref = TaskRef(other.id, 0, step, index)
            placed.place(ref, WorkerKey("w1", 1))
        record = msgspec.to_builtins(placed.record())
        planner = self._load(
            {
                tables.SUBMISSIONS: {_SPEC.id: msgspec.to_builtins(_SPEC)},
                tables.PROGRESS: {_SPEC.id: record},
            }
        )
        refs = [r for r, _ in planner.workflows[_SPEC.id].placed_tasks()]
        self.assertEqual([TaskRef(_SPEC.id, 0, 0, 0)], refs)

    def test_settled_workflow_with_a_submission_row_is_not_started(
        self,
    ) -> None:
        """Guards against running a settled workflow again in a new term.

        The store may apply a repeated insert of its row late.
        """
        planner = self._load(
            {
                tables.SUBMISSIONS: {_SPEC.id: msgspec.to_builtins(_SPEC)},
                tables.ENDED: {_SPEC.id: {"state": "cancelled"}},
            }
        )
        self.assertEqual([], plan_and_take_starts(planner))
        self.assertEqual(WorkflowState.CANCELLED, planner.state(_SPEC.id))


class WorkflowRepositoryTest(TestCase):
    """Commits during one term."""

    def _commit(self, *answers: object) -> list[Sequence[Operation]]:
        changes = Changes(
            accepted=[_SPEC], progress={_SPEC.id: WorkflowRecord([])}
        )
        return self._commit_all([changes], *answers)

    def _commit_all(
        self, batches: list[Changes], *answers: object
    ) -> list[Sequence[Operation]]:
        store = _Store(*answers)
        repository = _repository(store)
        for changes in batches:
            asyncio.run(repository.commit(changes))
        return store.transactions

    def test_every_commit_checks_the_term(self) -> None:
        """Guards against writes of a deposed leader."""
        (operations,) = self._commit(_OK)
        self.assertEqual(
            CheckRow(tables.CONTROL, tables.LEADER_KEY, 7), operations[0]
        )

    def test_insert_requires_that_the_workflow_has_not_ended(self) -> None:
        """Guards against an insert that is applied after the end."""
        (operations,) = self._commit(_OK)
        self.assertIn(CheckRow(tables.ENDED, _SPEC.id, 0), operations)

    def test_transaction_stays_within_the_entry_limit(
        self,
    ) -> None:
        """Guards against a batch that the store always refuses.

        Workflows that are inserted with starts take the most entries of a
        transaction, then those that are settled.
        """
        workflow_ids = [f"{number:016x}" for number in range(90)]
        accepted = [
            workflow_spec(id=workflow_id) for workflow_id in workflow_ids
        ]
        progress = {
            workflow_id: WorkflowRecord([]) for workflow_id in workflow_ids
        }
        settled = dict.fromkeys(workflow_ids, WorkflowState.CANCELLED)
        orders: list[Order] = [
            StartOrder(WorkerKey("w1", 1), TaskRef(i, 0, 0, 0), 1, "")
            for i in workflow_ids
        ]
        transactions = self._commit_all(
            [
                Changes(accepted=accepted, progress=progress, orders=orders),
                Changes(progress=progress),
                Changes(progress=progress, settled=settled),
            ],
            *[_OK] * 30,
        )
        entries = [
            sum(
                (operation.expected is not None)
                + (not isinstance(operation, CheckRow))
                for operation in operations
            )
            for operations in transactions
        ]
        self.assertLessEqual(max(entries), 100)

    def test_transaction_stays_within_the_size_limit(self) -> None:
        """Guards against a commit that is repeated and never succeeds.

        The store takes 1 MB a transaction, with values in base64.
        """
        task = TaskRecord(
            occurrence=0,
            step=0,
            index=799,
            state="placed",
            run=2,
            worker_id="i-1daace78a6",
            worker_started_at_ms=1_764_892_800_000,
            checkpoint="00000bb87a21d94b",
            failures=0,
        )
        tasks = [task] * 800
        progress = {f"{n:016x}": WorkflowRecord(tasks) for n in range(16)}
        transactions = self._commit_all(
            [Changes(progress=progress)], *[_OK] * 16
        )
        written = [
            operation
            for operations in transactions
            for operation in operations
            if isinstance(operation, PutRow)
        ]
        self.assertEqual(
            list(progress),
            [put.key for put in written if put.key in progress],
        )
        self.assertEqual(
            len(tasks) * len(progress),
            sum(len(put.value["tasks"]) for put in written),
        )
        sizes = [
            sum(
                len(b64encode(msgspec.json.encode(operation.value)))
                for operation in operations
                if isinstance(operation, PutRow)
            )
            for operations in transactions
        ]
        self.assertLess(max(sizes), 1_000_000)

    def test_rejected_workflow_holds_up_no_other(self) -> None:
        """Guards against a refused transaction that is repeated for ever.

        Nothing was stored any more, and no submission of anybody started.
        """
        ids = [f"{number:016x}" for number in range(3)]
        store = _SelectiveStore(ids[1])
        log = RecordingLog()
        repository = WorkflowRepository(
            _SETTINGS,
            store,  # type: ignore[arg-type]
            _Clock(),  # type: ignore[arg-type]
            StoreHealth(log, 0.0),
            log,
            7,
        )
        changes = Changes(progress=dict.fromkeys(ids, WorkflowRecord([])))
        outcome = asyncio.run(repository.commit(changes))
        self.assertEqual({ids[1]}, outcome.rejected)
        self.assertEqual(
            {
                (tables.PROGRESS, ids[0]): {
                    "tasks": [],
                    "cancelled": False,
                    "failed": False,
                    "started_in_turn": True,
                },
                (tables.PROGRESS, ids[2]): {
                    "tasks": [],
                    "cancelled": False,
                    "failed": False,
                    "started_in_turn": True,
                },
                (tables.ENDED, ids[1]): {"state": "failed"},
            },
            store.rows,
        )
        self.assertEqual(
            f"{tables.PROGRESS}/{ids[1]}",
            log.fields["commit.rejected"]["largest"],
        )
        self.assertNotIn("store.lost", log.fields)
        # Later changes of it are not tried again.
        store.transaction_count = 0
        asyncio.run(repository.commit(changes))
        self.assertEqual(1, store.transaction_count)

    def test_single_rejection_fails_no_workflow(self) -> None:
        """Guards against a workflow that one wrong answer of a store ends."""
        store = _SelectiveStore(_SPEC.id, rejections=2)
        changes = Changes(progress={_SPEC.id: WorkflowRecord([])})
        outcome = asyncio.run(
            _repository(store).commit(changes)  # type: ignore[arg-type]
        )
        self.assertEqual(set(), outcome.rejected)
        self.assertIn((tables.PROGRESS, _SPEC.id), store.rows)

    def test_rejected_cancelled_workflow_stays_cancelled(self) -> None:
        """Guards against a cancelled workflow that is shown as failed."""
        store = _SelectiveStore(_SPEC.id)
        changes = Changes(
            progress={_SPEC.id: WorkflowRecord([], cancelled=True)}
        )
        asyncio.run(
            _repository(store).commit(changes)  # type: ignore[arg-type]
        )
        self.assertEqual(
            {(tables.ENDED, _SPEC.id): {"state": "cancelled"}}, store.rows
        )

    def test_changed_leader_row_ends_the_term(self) -> None:
        """Guards against a leader that continues after it was deposed."""
        with ExpectedException(TermEnded):
            self._commit(_conflict(tables.CONTROL, tables.LEADER_KEY, 9))

    def test_applied_commit_with_lost_answer_is_recognised(
        self,
    ) -> None:
        """Guards against a leader that repeats a stored write forever.

        The row then has a newer version than the leader expects.
        """
        transactions = self._commit(
            Err(TableOutcomeUnknown("no answer")),
            _conflict(tables.PROGRESS, _SPEC.id, 35),
            _OK,
        )
        puts = [
            operation
            for operation in transactions[-1]
            if isinstance(operation, PutRow)
            and operation.table == tables.PROGRESS
        ]
        self.assertEqual([35], [operation.expected for operation in puts])

    def test_retry_after_a_failure_waits(self) -> None:
        """Guards against retries without a pause when the store is down."""
        for failure in (
            TableOutcomeUnknown("reset"),
            TableRefused("busy"),
            TableConflict("rows: ", {}),
        ):
            with patch("asyncio.sleep", AsyncMock()) as sleep:
                self._commit(Err(failure), Err(failure), _OK)
            self.assertEqual(2, sleep.await_count)

    def test_placement_meets_a_stored_cancellation(self) -> None:
        """Guards against starts while the feed of cancellations lags.

        The placement is stored without the check, so that a later leader
        knows of the run, and the cancellation is reported to the caller.
        """
        start = StartOrder(
            WorkerKey("w1", 1), TaskRef(_SPEC.id, 0, 0, 0), 1, ""
        )
        store = _Store(_conflict(tables.CANCELS, _SPEC.id, 30), _OK)
        changes = Changes(
            progress={_SPEC.id: WorkflowRecord([])}, orders=[start]
        )
        outcome = asyncio.run(_repository(store).commit(changes))
        check = CheckRow(tables.CANCELS, _SPEC.id, 0)
        self.assertIn(check, store.transactions[0])
        self.assertNotIn(check, store.transactions[1])
        self.assertEqual({_SPEC.id}, outcome.cancelled)

    def test_submission_stored_by_a_member_is_not_inserted(
        self,
    ) -> None:
        """Guards against a conflict that no retry resolves."""
        transactions = self._commit(
            _conflict(tables.SUBMISSIONS, _SPEC.id, 30), _OK
        )
        table_names = {operation.table for operation in transactions[-1]}
        self.assertEqual({tables.CONTROL, tables.PROGRESS}, table_names)
