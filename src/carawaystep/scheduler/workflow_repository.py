"""Workflows in the store, changed under one term."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from result import Err
from result import Ok

from carawaystep.scheduler import tables
from carawaystep.store.operation import CheckRow
from carawaystep.store.operation import DeleteRow
from carawaystep.store.operation import PutRow
from carawaystep.store.table_failure import TableConflict
from carawaystep.store.table_failure import TableRefused
from carawaystep.workflow.workflow_record import WorkflowRecord
from carawaystep.workflow.workflow_spec import WorkflowSpec
from carawaystep.workflow.workflow_state import WorkflowState

if TYPE_CHECKING:
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

# The service takes 100 entries in a transaction, and counts a condition on a
# row and a change of it as two. A workflow has at most four, and one is the
# check of the leader's row.
_WORKFLOWS_PER_COMMIT = 24
_RETRY_INTERVAL_S = 0.1


class TermEnded(Exception):
    """Another process leads."""


class WorkflowRepository:
    """Reads and writes of the leader of one term.

    Every transaction checks the leader's row, so that nothing of an earlier
    leader is applied, however late. Rows are written under their versions,
    so that a transaction whose answer was lost is not applied twice.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        store_health: StoreHealth,
        log: DecisionLog,
        term: int,
    ) -> None:
        """Create the ledger of a term that has read nothing.

        :param log: takes a line for each commit that failed
        :param term: version of the leader's row
        """
        self._log = log
        self._table = table
        self._clock = clock
        self._store_health = store_health
        self._term = term
        self._progress_versions: dict[str, int] = {}
        self._confirmed_at = clock.now()

    @property
    def confirmed_at(self) -> float:
        """Return when the store last confirmed the term."""
        return self._confirmed_at

    async def load(self, planner: Planner) -> int:
        """Read all workflows into a new planner.

        :returns: revision of the submissions that were read
        """
        submissions, revision = await self._read_table(tables.SUBMISSIONS)
        progress, _ = await self._read_table(tables.PROGRESS)
        ended, _ = await self._read_table(tables.ENDED)
        for row in ended:
            planner.restore_final(row.key, WorkflowState(row.value["state"]))
        records = {}
        for row in progress:
            records[row.key] = msgspec.convert(row.value, WorkflowRecord)
            self._progress_versions[row.key] = row.version
        for row in submissions:
            spec = parse_spec(row)
            if spec is not None:
                planner.restore(spec, records.get(row.key))
        return revision

    async def load_interference(self) -> list[tuple[str, str, float]]:
        """Return what an earlier leader has learned of pairs of images.

        Nothing rests on it, so that a row that cannot be read counts as
        none.
        """
        result = await self._table.get(tables.CONTROL, tables.INTERFERENCE_KEY)
        if not isinstance(result, Ok) or result.ok_value is None:
            return []
        try:
            return msgspec.convert(
                result.ok_value.value, list[tuple[str, str, float]]
            )
        except msgspec.ValidationError:
            return []

    async def save_interference(
        self, pairs: list[tuple[str, str, float]]
    ) -> None:
        """Store what was learned of pairs of images; it may be lost."""
        value = [(f, s, round(odds, 3)) for f, s, odds in pairs]
        result = await self._table.transact(
            [
                CheckRow(tables.CONTROL, tables.LEADER_KEY, self._term),
                PutRow(tables.CONTROL, tables.INTERFERENCE_KEY, None, value),
            ]
        )
        if not isinstance(result, Ok):
            self._store_health.record_failure(
                result.err_value.detail, self._clock.now()
            )

    async def confirm(self) -> bool:
        """QueryState the store whether the term still holds.

        :returns: False when the store did not answer
        :raises TermEnded: another process leads
        """
        began_at = self._clock.now()
        result = await self._table.get(tables.CONTROL, tables.LEADER_KEY)
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

    async def commit(self, changes: Changes) -> None:
        """Store a batch; return once it is certainly stored.

        :raises TermEnded: another process leads
        """
        pieces = [
            *([spec.id] for spec in changes.accepted),
            *([name] for name in changes.progress),
        ]
        names = list(dict.fromkeys(name for piece in pieces for name in piece))
        for begin in range(0, len(names), _WORKFLOWS_PER_COMMIT):
            chunk = set(names[begin : begin + _WORKFLOWS_PER_COMMIT])
            await self._commit_chunk(changes, chunk)

    async def _commit_chunk(self, changes: Changes, names: set[str]) -> None:
        inserts = {
            spec.id: spec for spec in changes.accepted if spec.id in names
        }
        while True:
            operations = self._operations(changes, names, inserts)
            began_at = self._clock.now()
            result = await self._table.transact(operations)
            now = self._clock.now()
            if isinstance(result, Ok):
                self._record_confirmation(began_at)
                self._record_versions(operations, result.ok_value.revision)
                return
            failure = result.err_value
            if isinstance(failure, TableConflict):
                self._store_health.record_answer(now)
                self._resolve_conflict(failure, inserts)
                continue
            self._store_health.record_failure(failure.detail, now)
            self._log.line(
                "commit.failed",
                str(self._term),
                workflows=len(names),
                detail=failure.detail,
            )
            if isinstance(failure, TableRefused):
                await asyncio.sleep(_RETRY_INTERVAL_S)

    def _operations(
        self,
        changes: Changes,
        names: set[str],
        inserts: dict[str, WorkflowSpec],
    ) -> list[Operation]:
        operations: list[Operation] = [
            CheckRow(tables.CONTROL, tables.LEADER_KEY, self._term)
        ]
        for name, spec in inserts.items():
            if name not in changes.ended:
                value = msgspec.to_builtins(spec)
                operations.append(PutRow(tables.SUBMISSIONS, name, 0, value))
        for name, record in changes.progress.items():
            if name not in names:
                continue
            version = self._progress_versions.get(name, 0)
            final = changes.ended.get(name)
            if final is None:
                operations.append(
                    PutRow(
                        tables.PROGRESS,
                        name,
                        version,
                        msgspec.to_builtins(record),
                    )
                )
                continue
            operations.append(
                PutRow(tables.ENDED, name, None, {"state": final.value})
            )
            operations.append(DeleteRow(tables.SUBMISSIONS, name, None))
            if version:
                operations.append(DeleteRow(tables.PROGRESS, name, version))
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
        """Take the versions of rows that an unanswered commit has written.

        Nobody else writes progress under this term; a submission may have
        been stored by the member that took it.
        """
        for (table, key), version in conflict.versions.items():
            if table == tables.CONTROL:
                raise TermEnded
            if table == tables.SUBMISSIONS:
                inserts.pop(key, None)
            elif version:
                self._progress_versions[key] = version
            else:
                self._progress_versions.pop(key, None)

    async def _read_table(self, table: str) -> tuple[list[Row], int]:
        while True:
            result = await self._table.changes(table, 0)
            if isinstance(result, Ok):
                self._store_health.record_answer(self._clock.now())
                page = result.ok_value
                rows = [row for row in page.rows if row.value]
                return rows, page.revision
            self._store_health.record_failure(
                result.err_value.detail, self._clock.now()
            )
            await asyncio.sleep(_RETRY_INTERVAL_S)

    def _record_confirmation(self, began_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, began_at)
        self._store_health.record_answer(self._clock.now())


def parse_spec(row: Row) -> WorkflowSpec | None:
    """Return the workflow of a row, None when it cannot be read."""
    value: Any = row.value
    try:
        return msgspec.convert(value, WorkflowSpec)
    except msgspec.ValidationError:
        return None


async def insert_submission(
    table: TableService, spec: WorkflowSpec
) -> Result[None, TableFailure]:
    """Store a submission without the leader.

    :returns: also Ok when it is stored already
    """
    result = await table.transact(
        [
            CheckRow(tables.ENDED, spec.id, 0),
            PutRow(tables.SUBMISSIONS, spec.id, 0, msgspec.to_builtins(spec)),
        ]
    )
    if isinstance(result, Err) and not isinstance(
        result.err_value, TableConflict
    ):
        return result
    return Ok(None)
