"""Repository through which the leader of one term stores workflows."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import TYPE_CHECKING

import msgspec
from result import Err
from result import Ok

from carawaystep.scheduler import stored_rows
from carawaystep.scheduler import tables
from carawaystep.scheduler.progress_rows import ProgressRows
from carawaystep.scheduler.rejected_transaction import log_rejected
from carawaystep.scheduler.table_reader import read_table
from carawaystep.scheduler.term_ended import TermEnded
from carawaystep.scheduler.workflow_change import transactions
from carawaystep.scheduler.workflow_change import workflow_changes
from carawaystep.store.operation import CheckRow
from carawaystep.store.operation import DeleteRow
from carawaystep.store.operation import PutRow
from carawaystep.store.table_failure import TableConflict
from carawaystep.store.table_failure import TableRejected
from carawaystep.workflow.workflow_state import WorkflowState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from result import Result

    from carawaystep.entry.clock import Clock
    from carawaystep.planner.changes import Changes
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.planner.planner import Planner
    from carawaystep.scheduler.node_settings import NodeSettings
    from carawaystep.scheduler.store_health import StoreHealth
    from carawaystep.scheduler.workflow_change import WorkflowChange
    from carawaystep.store.operation import Operation
    from carawaystep.store.row import Row
    from carawaystep.store.table_failure import TableFailure
    from carawaystep.store.table_service import TableService
    from carawaystep.workflow.workflow_spec import WorkflowSpec

_RETRY_INTERVAL_S = 0.1
# A single wrong answer of the store fails no workflow.
_REJECTIONS_BEFORE_FAILURE = 3


@dataclass(slots=True)
class CommitOutcome:
    """What a commit has shown of workflows besides that they are stored.

    :param cancelled: ids of workflows with starts in the batch whose
        cancellation was stored earlier
    :param rejected: ids of workflows that the store does not accept; they
        are stored as failed, or as cancelled
    """

    cancelled: set[str] = field(default_factory=set)
    rejected: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class LoadedRevisions:
    """Revisions at which tables were read at the start of a term."""

    submissions: int
    cancels: int


class WorkflowRepository:
    """Loads and stores workflows while a term lasts.

    Every transaction checks the version of the leader row, so delayed writes
    of a deposed leader are rejected. Progress rows are written conditionally
    on their versions, so a transaction whose answer was lost cannot be
    applied twice. A workflow that the store does not accept fails, and holds
    up no other.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: TableService,
        clock: Clock,
        store_health: StoreHealth,
        log: DecisionLog,
        term: int,
    ) -> None:
        """Create a repository; nothing is read yet.

        :param settings: settings of this process
        :param store: the store
        :param clock: clock of the process
        :param store_health: records the answers and failures of the store
        :param log: receives an event for each failed commit
        :param term: number of the term, which is the leader row's version
        """
        self._settings = settings
        self._log = log
        self._store = store
        self._clock = clock
        self._store_health = store_health
        self._term = term
        self._progress_rows = ProgressRows(log)
        # How often each workflow was rejected alone, and those that failed.
        self._rejection_counts: Counter[str] = Counter()
        self._rejected: set[str] = set()
        # Workflows of which it was logged that checkpoints do not fit.
        self._without_checkpoints: set[str] = set()
        self._confirmed_at = clock.now()
        self._checked_at = -inf

    @property
    def confirmed_at(self) -> float:
        """Return when the last call that confirmed the term began.

        :returns: time in seconds of the process's clock
        """
        return self._confirmed_at

    @property
    def checked_at(self) -> float:
        """Return when the last call that checked the leader row began.

        The election is no such call.

        :returns: time in seconds of the process's clock, minus infinity
            without one
        """
        return self._checked_at

    async def load(self, planner: Planner) -> LoadedRevisions:
        """Restore all stored workflows in a new planner.

        Cancellations are applied here, so that the first plan starts no
        task of a workflow that is stored as cancelled.

        :param planner: planner without workflows
        """
        submissions, submissions_revision = await self._read_table(
            tables.SUBMISSIONS
        )
        progress, _ = await self._read_table(tables.PROGRESS)
        ended, _ = await self._read_table(tables.ENDED)
        cancels, cancels_revision = await self._read_table(tables.CANCELS)
        for row in ended:
            final = stored_rows.FINAL_STATES.convert(row.value)
            if isinstance(final, Ok):
                planner.restore_final(row.key, final.ok_value.state)
            else:
                self._log_unreadable(tables.ENDED, row, final.err_value)
        records = self._progress_rows.restore(progress)
        for row in submissions:
            spec = stored_rows.parse_spec(row)
            if spec is None:
                self._log_unreadable(tables.SUBMISSIONS, row, "no workflow")
            elif planner.state(spec.id) is None and not (
                # Without its progress, a workflow would start runs again.
                self._progress_rows.row_count(row.key)
                and row.key not in records
            ):
                planner.restore(spec, records.get(row.key))
        for row in cancels:
            planner.apply_stored_cancellation(row.key)
        return LoadedRevisions(submissions_revision, cancels_revision)

    def _log_unreadable(self, table: str, row: Row, problem: str) -> None:
        self._log.line(
            "row.unreadable",
            row.key,
            table=table,
            version=row.version,
            problem=problem,
        )

    async def confirm(self) -> bool:
        """Check in the leader row whether this term is still the current one.

        :returns: False if the store did not answer
        :raises TermEnded: another process was elected
        """
        began_at = self._clock.now()
        result = await self._store.get(tables.CONTROL, tables.LEADER_KEY)
        if not isinstance(result, Ok):
            self._store_health.record_failure(
                result.err_value.detail, self._clock.now()
            )
            return False
        row = result.ok_value
        if row is None or row.version != self._term:
            raise TermEnded
        self._record_confirmation(began_at)
        return True

    async def commit(self, changes: Changes) -> CommitOutcome:
        """Store a batch of changes, retrying until all of it is stored.

        A placement is not stored without notice after the cancellation of
        its workflow, so that no start depends on how fast the feed of
        cancellations is.

        :raises TermEnded: another process was elected
        """
        outcome = CommitOutcome()
        found = workflow_changes(
            changes, self._progress_rows, self._settings.max_row_bytes
        )
        for change in found:
            self._log_dropped_checkpoints(change)
        for group in transactions(found):
            await self._commit_group(group, outcome)
        return outcome

    async def _commit_group(
        self, group: list[WorkflowChange], outcome: CommitOutcome
    ) -> None:
        """Store the changes of some workflows in one transaction.

        If the store does not accept it, each of them is stored alone, so
        that those with acceptable rows are.
        """
        inserts = {c.workflow_id: c.spec for c in group if c.spec is not None}
        while True:
            operations = self._operations(group, inserts, outcome)
            began_at = self._clock.now()
            result = await self._store.transact(operations)
            now = self._clock.now()
            if isinstance(result, Ok):
                self._record_confirmation(began_at)
                self._progress_rows.record_commit(
                    operations, result.ok_value.revision
                )
                return
            failure = result.err_value
            # A conflict that names no row leaves nothing to resolve.
            if isinstance(failure, TableConflict) and failure.versions:
                self._store_health.record_answer(now)
                self._resolve_conflict(failure, inserts)
                outcome.cancelled.update(
                    key
                    for table, key in failure.versions
                    if table == tables.CANCELS
                )
                continue
            if isinstance(failure, TableRejected):
                self._store_health.record_answer(now)
                log_rejected(self._log, self._term, operations, failure)
                if len(group) > 1:
                    for change in group:
                        await self._commit_group([change], outcome)
                    return
                self._count_rejection(group[0].workflow_id, outcome)
            else:
                self._store_health.record_failure(failure.detail, now)
                self._log_failed(group, failure)
            await asyncio.sleep(_RETRY_INTERVAL_S)

    def _count_rejection(
        self, workflow_id: str, outcome: CommitOutcome
    ) -> None:
        """Store a workflow only as failed once it was rejected repeatedly."""
        self._rejection_counts[workflow_id] += 1
        if self._rejection_counts[workflow_id] == _REJECTIONS_BEFORE_FAILURE:
            self._rejected.add(workflow_id)
            outcome.rejected.add(workflow_id)

    def _operations(
        self,
        group: list[WorkflowChange],
        inserts: dict[str, WorkflowSpec],
        outcome: CommitOutcome,
    ) -> list[Operation]:
        operations: list[Operation] = [
            CheckRow(tables.CONTROL, tables.LEADER_KEY, self._term)
        ]
        for change in group:
            workflow_id = change.workflow_id
            if change.final_state is not None:
                operations.extend(
                    self._settle_operations(workflow_id, change.final_state)
                )
            elif workflow_id in self._rejected:
                state = (
                    WorkflowState.CANCELLED
                    if change.cancelled
                    else WorkflowState.FAILED
                )
                operations.extend(self._settle_operations(workflow_id, state))
            else:
                operations.extend(self._progress_operations(change, inserts))
                if change.has_starts and workflow_id not in outcome.cancelled:
                    operations.append(CheckRow(tables.CANCELS, workflow_id, 0))
        return operations

    def _progress_operations(
        self, change: WorkflowChange, inserts: dict[str, WorkflowSpec]
    ) -> Iterator[Operation]:
        workflow_id = change.workflow_id
        spec = inserts.get(workflow_id)
        if spec is not None:
            # Without this check, an insert that the store applies late
            # could follow the end of the workflow.
            yield CheckRow(tables.ENDED, workflow_id, 0)
            yield PutRow(
                tables.SUBMISSIONS, workflow_id, 0, msgspec.to_builtins(spec)
            )
        if change.progress is not None:
            yield from self._progress_rows.put_operations(
                workflow_id, change.progress
            )

    def _settle_operations(
        self, workflow_id: str, state: WorkflowState
    ) -> Iterator[Operation]:
        yield PutRow(tables.ENDED, workflow_id, None, {"state": state.value})
        yield DeleteRow(tables.SUBMISSIONS, workflow_id, None)
        yield from self._progress_rows.delete_operations(workflow_id)

    def _log_failed(
        self, group: list[WorkflowChange], failure: TableFailure
    ) -> None:
        self._log.line(
            "commit.failed",
            str(self._term),
            workflows=len(group),
            detail=failure.detail,
        )

    def _log_dropped_checkpoints(self, change: WorkflowChange) -> None:
        """Log once a term that checkpoints of a workflow do not fit."""
        layout = change.progress
        if layout is None or not layout.dropped_checkpoints:
            return
        if change.workflow_id in self._without_checkpoints:
            return
        self._without_checkpoints.add(change.workflow_id)
        self._log.line(
            "checkpoints.dropped",
            change.workflow_id,
            count=layout.dropped_checkpoints,
        )

    def _resolve_conflict(
        self, conflict: TableConflict, inserts: dict[str, WorkflowSpec]
    ) -> None:
        """Adopt the versions of the rows that conflicted.

        Progress rows conflict only if an earlier attempt was applied but its
        answer was lost, because nobody else writes them during the term. A
        submission may have been stored by the member that received it.

        :raises TermEnded: the leader row has changed
        """
        for (table, key), version in conflict.versions.items():
            if table == tables.CONTROL:
                raise TermEnded
            if table in (tables.SUBMISSIONS, tables.ENDED):
                inserts.pop(key, None)
            elif table != tables.PROGRESS:
                continue
            else:
                self._progress_rows.adopt_version(key, version)

    async def _read_table(self, table: str) -> tuple[list[Row], int]:
        return await read_table(
            self._store, self._clock, self._store_health, table
        )

    def _record_confirmation(self, began_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, began_at)
        self._checked_at = max(self._checked_at, began_at)
        self._store_health.record_answer(self._clock.now())


async def insert_submission(
    store: TableService, spec: WorkflowSpec
) -> Result[None, TableFailure]:
    """Store a submission without the leader.

    :returns: Ok if the submission is stored now or was before; a conflict
        that names no row is a failure, as nothing shows that it was
    """
    result = await store.transact(
        [
            CheckRow(tables.ENDED, spec.id, 0),
            PutRow(tables.SUBMISSIONS, spec.id, 0, msgspec.to_builtins(spec)),
        ]
    )
    if isinstance(result, Ok):
        return Ok(None)
    failure = result.err_value
    if isinstance(failure, TableConflict) and failure.versions:
        return Ok(None)
    return Err(failure)
