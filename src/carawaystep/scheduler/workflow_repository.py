"""Repository through which the leader of one term stores workflows."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from result import Err
from result import Ok

from carawaystep.scheduler import stored_rows
from carawaystep.scheduler import tables
from carawaystep.store.operation import CheckRow
from carawaystep.store.operation import DeleteRow
from carawaystep.store.operation import PutRow
from carawaystep.store.table_failure import TableConflict

if TYPE_CHECKING:
    from collections.abc import Iterator

    from result import Result

    from carawaystep.entry.clock import Clock
    from carawaystep.planner.changes import Changes
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.planner.planner import Planner
    from carawaystep.scheduler.store_health import StoreHealth
    from carawaystep.store.operation import Operation
    from carawaystep.store.row import Row
    from carawaystep.store.table_failure import TableFailure
    from carawaystep.store.table_service import TableService
    from carawaystep.workflow.workflow_record import WorkflowRecord
    from carawaystep.workflow.workflow_spec import WorkflowSpec

# The store accepts 100 entries per transaction and counts a condition on a
# row and a change of that row separately. A workflow needs at most six
# entries and the check of the leader row one.
_WORKFLOWS_PER_COMMIT = 16
# Size of the JSON in a transaction, unless one workflow alone is larger. The
# store accepts 1 MB; this much arrives in time on a link of 5 Mbit/s.
_MAX_COMMIT_BYTES = 256 * 1024
_RETRY_INTERVAL_S = 0.1


class TermEnded(Exception):
    """Another process was elected, or this one resigned."""


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
    applied twice.
    """

    def __init__(
        self,
        store: TableService,
        clock: Clock,
        store_health: StoreHealth,
        log: DecisionLog,
        term: int,
    ) -> None:
        """Create a repository; nothing is read yet.

        :param store: the store
        :param clock: clock of the process
        :param store_health: records the answers and failures of the store
        :param log: receives an event for each failed commit
        :param term: number of the term, which is the leader row's version
        """
        self._log = log
        self._store = store
        self._clock = clock
        self._store_health = store_health
        self._term = term
        self._progress_versions: dict[str, int] = {}
        self._confirmed_at = clock.now()

    @property
    def confirmed_at(self) -> float:
        """Return when the last call that confirmed the term began.

        :returns: time in seconds of the process's clock
        """
        return self._confirmed_at

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
        records = self._read_records(progress)
        for row in submissions:
            spec = stored_rows.parse_spec(row)
            if spec is None:
                self._log_unreadable(tables.SUBMISSIONS, row, "no workflow")
            elif planner.state(spec.id) is None and not (
                # Without its progress, a workflow would start runs again.
                row.key in self._progress_versions and row.key not in records
            ):
                planner.restore(spec, records.get(row.key))
        for row in cancels:
            planner.apply_stored_cancellation(row.key)
        return LoadedRevisions(submissions_revision, cancels_revision)

    def _read_records(self, rows: list[Row]) -> dict[str, WorkflowRecord]:
        """Return the readable progress of workflows by id."""
        records = {}
        for row in rows:
            self._progress_versions[row.key] = row.version
            record = stored_rows.PROGRESS.convert(row.value)
            if isinstance(record, Ok):
                records[row.key] = record.ok_value
            else:
                self._log_unreadable(tables.PROGRESS, row, record.err_value)
        return records

    def _log_unreadable(self, table: str, row: Row, problem: str) -> None:
        self._log.line(
            "row.unreadable",
            row.key,
            table=table,
            version=row.version,
            problem=problem,
        )

    async def load_interference(self) -> list[tuple[str, str, float]]:
        """Return the stored probabilities of harm between images.

        The row is only an optimisation: if it is missing or malformed, the
        result is empty. A failed read is repeated, because the leader later
        replaces the row by what it knows.

        :returns: image of the best-effort task, image of the serving task
            and probability that the first harms the second
        """
        row = await self._read_interference_row()
        if row is None:
            return []
        return stored_rows.INTERFERENCE.convert(row.value).unwrap_or([])

    async def save_interference(
        self, pairs: list[tuple[str, str, float]]
    ) -> bool:
        """Store probabilities of harm; a failure is not retried.

        :param pairs: as returned by :meth:`load_interference`
        :returns: whether they are known to be stored
        """
        value = [
            (best_effort, serving, round(probability, 3))
            for best_effort, serving, probability in pairs
        ]
        result = await self._store.transact(
            [
                CheckRow(tables.CONTROL, tables.LEADER_KEY, self._term),
                PutRow(tables.CONTROL, tables.INTERFERENCE_KEY, None, value),
            ]
        )
        if isinstance(result, Ok):
            return True
        self._store_health.record_failure(
            result.err_value.detail, self._clock.now()
        )
        return False

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

    async def commit(self, changes: Changes) -> set[str]:
        """Store a batch of changes, retrying until all of it is stored.

        A placement is not stored without notice after the cancellation of
        its workflow, so that no start depends on how fast the feed of
        cancellations is.

        :returns: ids of workflows with starts in the batch whose
            cancellation was stored earlier
        :raises TermEnded: another process was elected
        """
        cancelled: set[str] = set()
        for chunk in _chunks(changes):
            cancelled |= await self._commit_chunk(changes, chunk)
        return cancelled

    async def _commit_chunk(
        self, changes: Changes, workflow_ids: set[str]
    ) -> set[str]:
        inserts = {
            spec.id: spec
            for spec in changes.accepted
            if spec.id in workflow_ids
        }
        started = {order.ref.workflow for order in changes.orders}
        started &= workflow_ids
        cancelled: set[str] = set()
        while True:
            operations = self._operations(changes, workflow_ids, inserts)
            operations.extend(
                CheckRow(tables.CANCELS, workflow_id, 0)
                for workflow_id in sorted(started - cancelled)
            )
            began_at = self._clock.now()
            result = await self._store.transact(operations)
            now = self._clock.now()
            if isinstance(result, Ok):
                self._record_confirmation(began_at)
                self._record_versions(operations, result.ok_value.revision)
                return cancelled
            failure = result.err_value
            # A conflict that names no row leaves nothing to resolve.
            if isinstance(failure, TableConflict) and failure.versions:
                self._store_health.record_answer(now)
                self._resolve_conflict(failure, inserts)
                cancelled.update(
                    key
                    for table, key in failure.versions
                    if table == tables.CANCELS
                )
                continue
            self._store_health.record_failure(failure.detail, now)
            self._log.line(
                "commit.failed",
                str(self._term),
                workflows=len(workflow_ids),
                detail=failure.detail,
            )
            await asyncio.sleep(_RETRY_INTERVAL_S)

    def _operations(
        self,
        changes: Changes,
        workflow_ids: set[str],
        inserts: dict[str, WorkflowSpec],
    ) -> list[Operation]:
        operations: list[Operation] = [
            CheckRow(tables.CONTROL, tables.LEADER_KEY, self._term)
        ]
        for workflow_id, spec in inserts.items():
            if workflow_id not in changes.settled:
                value = msgspec.to_builtins(spec)
                # Without this check, an insert that the store applies late
                # could follow the end of the workflow.
                operations.append(CheckRow(tables.ENDED, workflow_id, 0))
                operations.append(
                    PutRow(tables.SUBMISSIONS, workflow_id, 0, value)
                )
        for workflow_id, record in changes.progress.items():
            if workflow_id not in workflow_ids:
                continue
            version = self._progress_versions.get(workflow_id, 0)
            final = changes.settled.get(workflow_id)
            if final is None:
                operations.append(
                    PutRow(
                        tables.PROGRESS,
                        workflow_id,
                        version,
                        msgspec.to_builtins(record),
                    )
                )
                continue
            operations.append(
                PutRow(tables.ENDED, workflow_id, None, {"state": final.value})
            )
            operations.append(DeleteRow(tables.SUBMISSIONS, workflow_id, None))
            if version:
                operations.append(
                    DeleteRow(tables.PROGRESS, workflow_id, version)
                )
        return operations

    def _record_versions(
        self, operations: list[Operation], revision: int
    ) -> None:
        for operation in operations:
            if operation.table != tables.PROGRESS:
                continue
            if isinstance(operation, PutRow):
                self._progress_versions[operation.key] = revision
            else:
                self._progress_versions.pop(operation.key, None)

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
            elif version:
                self._progress_versions[key] = version
            else:
                self._progress_versions.pop(key, None)

    async def _read_interference_row(self) -> Row | None:
        while True:
            result = await self._store.get(
                tables.CONTROL, tables.INTERFERENCE_KEY
            )
            now = self._clock.now()
            if isinstance(result, Ok):
                self._store_health.record_answer(now)
                return result.ok_value
            self._store_health.record_failure(result.err_value.detail, now)
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _read_table(self, table: str) -> tuple[list[Row], int]:
        while True:
            result = await self._store.changes(table, 0)
            if isinstance(result, Ok):
                self._store_health.record_answer(self._clock.now())
                page = result.ok_value
                rows = [row for row in page.rows if row.value is not None]
                return rows, page.revision
            self._store_health.record_failure(
                result.err_value.detail, self._clock.now()
            )
            await asyncio.sleep(_RETRY_INTERVAL_S)

    def _record_confirmation(self, began_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, began_at)
        self._store_health.record_answer(self._clock.now())


def _chunks(changes: Changes) -> Iterator[set[str]]:
    """Iterate over sets of workflows that fit in one transaction."""
    chunk: set[str] = set()
    chunk_bytes = 0
    for workflow_id, size in _encoded_sizes(changes).items():
        is_full = (
            len(chunk) == _WORKFLOWS_PER_COMMIT
            or chunk_bytes + size > _MAX_COMMIT_BYTES
        )
        if chunk and is_full:
            yield chunk
            chunk = set()
            chunk_bytes = 0
        chunk.add(workflow_id)
        chunk_bytes += size
    if chunk:
        yield chunk


def _encoded_sizes(changes: Changes) -> dict[str, int]:
    """Return the bytes of JSON to store, by workflow id."""
    sizes: dict[str, int] = {}
    for spec in changes.accepted:
        sizes[spec.id] = len(msgspec.json.encode(spec))
    for workflow_id, record in changes.progress.items():
        size = len(msgspec.json.encode(record))
        sizes[workflow_id] = sizes.get(workflow_id, 0) + size
    return sizes


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
