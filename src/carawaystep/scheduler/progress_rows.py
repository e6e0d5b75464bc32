"""Rows of the store that hold the progress of workflows.

The progress of a workflow is one row while it fits. The tasks of a larger one
continue in further rows, and all of them change in one transaction.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from result import Ok

from carawaystep.scheduler import tables
from carawaystep.store.operation import DeleteRow
from carawaystep.store.operation import PutRow
from carawaystep.validation.boundary_decoder import BoundaryDecoder

# The codecs read the annotations at run time.
from carawaystep.validation.bounds import Amount  # noqa: TC001
from carawaystep.workflow.workflow_record import TaskRecord  # noqa: TC001
from carawaystep.workflow.workflow_record import WorkflowRecord

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.store.operation import Operation
    from carawaystep.store.row import Row

# JSON of all rows of a workflow. In base64 it is half of what the store
# accepts in a transaction, and arrives in time on a link of 5 Mbit/s.
MAX_PROGRESS_BYTES = 384 * 1024
# Values are sent in base64, which is longer than JSON by a third. A row of
# this share is accepted whichever of the two the store counts.
JSON_SHARE_OF_ROW = 0.75
# JSON of a row besides its tasks.
_ROW_OVERHEAD_BYTES = 160
_KEY_SEPARATOR = "."


class FirstProgressRow(WorkflowRecord, frozen=True):
    """Value of the row under the id of the workflow.

    :param more_rows: number of further rows with tasks
    """

    more_rows: Amount = 0


class FurtherProgressRow(msgspec.Struct, frozen=True):
    """Value of a row under the id of the workflow and the row's number.

    :param tasks: tasks after those of the row before
    """

    tasks: list[TaskRecord]


_FIRST_ROWS = BoundaryDecoder[FirstProgressRow](FirstProgressRow)
_FURTHER_ROWS = BoundaryDecoder[FurtherProgressRow](FurtherProgressRow)


@dataclass(frozen=True, slots=True)
class ProgressLayout:
    """Progress of a workflow as the values of its rows.

    :param values: JSON value of each row
    :param size: bytes of JSON of all rows
    :param dropped_checkpoints: number of checkpoints that do not fit; their
        tasks begin anew if their runs are lost
    """

    values: list[Any]
    size: int
    dropped_checkpoints: int = 0


def lay_out(record: WorkflowRecord, max_row_bytes: int) -> ProgressLayout:
    """Divide the progress of a workflow into rows that the store accepts.

    :param record: progress of the workflow
    :param max_row_bytes: largest value of a row
    """
    limit = int(max_row_bytes * JSON_SHARE_OF_ROW)
    size = len(msgspec.json.encode(record))
    if size <= limit:
        return ProgressLayout([msgspec.to_builtins(record)], size)
    bounded = _drop_large_checkpoints(record, limit - _ROW_OVERHEAD_BYTES)
    first, *further = _divide(bounded.tasks, limit - _ROW_OVERHEAD_BYTES)
    rows: list[FirstProgressRow | FurtherProgressRow] = [
        FirstProgressRow(
            first,
            record.cancelled,
            record.failed,
            record.started_in_turn,
            len(further),
        )
    ]
    rows.extend(FurtherProgressRow(tasks) for tasks in further)
    return ProgressLayout(
        [msgspec.to_builtins(row) for row in rows],
        sum(len(msgspec.json.encode(row)) for row in rows),
        sum(
            before.checkpoint != after.checkpoint
            for before, after in zip(record.tasks, bounded.tasks, strict=True)
        ),
    )


class ProgressRows:
    """Tracks the stored rows of all workflows during one term.

    Rows are written on condition of their last versions, so that a
    transaction whose answer was lost is not applied twice.
    """

    def __init__(self, log: DecisionLog) -> None:
        """Create the state before the table is read.

        :param log: receives a line for each unreadable row
        """
        self._log = log
        self._versions: dict[str, int] = {}
        # Last number of a stored row, by workflow; 0 is the first row.
        self._last_numbers: dict[str, int] = {}
        # Values of rows of workflows with several, which are not written
        # again while they stay the same.
        self._values: dict[str, Any] = {}

    def restore(self, rows: Iterable[Row]) -> dict[str, WorkflowRecord]:
        """Load all rows of the table.

        :returns: progress by workflow, without those that lack a row or
            have an unreadable one
        """
        by_key = {row.key: row for row in rows}
        for key, row in by_key.items():
            self._versions[key] = row.version
            self._count_row(key)
        records = {}
        for workflow_id in self._last_numbers:
            record = self._read_record(workflow_id, by_key)
            if record is not None:
                records[workflow_id] = record
        return records

    def row_count(self, workflow_id: str) -> int:
        """Return the number of stored rows of a workflow's progress."""
        return self._last_numbers.get(workflow_id, -1) + 1

    def put_operations(
        self, workflow_id: str, layout: ProgressLayout
    ) -> list[Operation]:
        """Return the operations that replace the rows of a workflow."""
        operations: list[Operation] = []
        several = len(layout.values) > 1
        for number, value in enumerate(layout.values):
            key = _row_key(workflow_id, number)
            version = self._versions.get(key, 0)
            if several and version and self._values.get(key) == value:
                continue
            operations.append(PutRow(tables.PROGRESS, key, version, value))
        operations.extend(
            self._delete_operations(workflow_id, len(layout.values))
        )
        return operations

    def delete_operations(self, workflow_id: str) -> list[Operation]:
        """Return the operations that delete the rows of a workflow."""
        return list(self._delete_operations(workflow_id, 0))

    def record_commit(
        self, operations: Iterable[Operation], revision: int
    ) -> None:
        """Record the versions of rows that were written.

        :param operations: operations of a transaction
        :param revision: revision of the store after it
        """
        for operation in operations:
            if operation.table != tables.PROGRESS:
                continue
            if isinstance(operation, PutRow):
                self._record_put(operation, revision)
            elif isinstance(operation, DeleteRow):
                self.adopt_version(operation.key, 0)

    def adopt_version(self, key: str, version: int) -> None:
        """Record that a row has another version than expected.

        :param version: present version, 0 if the row does not exist
        """
        self._values.pop(key, None)
        if version:
            self._versions[key] = version
            self._count_row(key)
            return
        self._versions.pop(key, None)
        workflow_id, number = _parse_key(key)
        if self._last_numbers.get(workflow_id) != number:
            return
        while number >= 0 and _row_key(workflow_id, number) not in (
            self._versions
        ):
            number -= 1
        if number < 0:
            del self._last_numbers[workflow_id]
        else:
            self._last_numbers[workflow_id] = number

    def _record_put(self, operation: PutRow, revision: int) -> None:
        key = operation.key
        self._versions[key] = revision
        self._count_row(key)
        workflow_id, number = _parse_key(key)
        if number > 0 or operation.value.get("more_rows"):
            self._values[key] = operation.value
        else:
            self._values.pop(key, None)

    def _delete_operations(
        self, workflow_id: str, first_number: int
    ) -> Iterator[Operation]:
        last_number = self._last_numbers.get(workflow_id, -1)
        for number in range(first_number, last_number + 1):
            key = _row_key(workflow_id, number)
            version = self._versions.get(key)
            if version:
                yield DeleteRow(tables.PROGRESS, key, version)

    def _count_row(self, key: str) -> None:
        workflow_id, number = _parse_key(key)
        self._last_numbers[workflow_id] = max(
            number, self._last_numbers.get(workflow_id, 0)
        )

    def _read_record(
        self, workflow_id: str, rows: dict[str, Row]
    ) -> WorkflowRecord | None:
        row = rows.get(workflow_id)
        if row is None:
            self._log_unreadable(workflow_id, 0, "the first row is missing")
            return None
        first = _FIRST_ROWS.convert(row.value)
        if not isinstance(first, Ok):
            self._log_unreadable(row.key, row.version, first.err_value)
            return None
        record = first.ok_value
        tasks = list(record.tasks)
        for number in range(1, record.more_rows + 1):
            key = _row_key(workflow_id, number)
            further = rows.get(key)
            if further is None:
                self._log_unreadable(key, 0, "the row is missing")
                return None
            decoded = _FURTHER_ROWS.convert(further.value)
            if not isinstance(decoded, Ok):
                self._log_unreadable(key, further.version, decoded.err_value)
                return None
            tasks.extend(decoded.ok_value.tasks)
        return WorkflowRecord(
            tasks, record.cancelled, record.failed, record.started_in_turn
        )

    def _log_unreadable(self, key: str, version: int, problem: str) -> None:
        self._log.line(
            "row.unreadable",
            key,
            table=tables.PROGRESS,
            version=version,
            problem=problem,
        )


def _row_key(workflow_id: str, number: int) -> str:
    return f"{workflow_id}{_KEY_SEPARATOR}{number}" if number else workflow_id


def _parse_key(key: str) -> tuple[str, int]:
    """Return the workflow of a row and the number of the row.

    A key that no leader writes stands for a workflow that nobody submitted.
    """
    workflow_id, separator, number = key.partition(_KEY_SEPARATOR)
    if separator and number.isascii() and number.isdecimal():
        return workflow_id, int(number)
    return key, 0


def _drop_large_checkpoints(
    record: WorkflowRecord, max_task_bytes: int
) -> WorkflowRecord:
    """Drop the longest checkpoints until the progress can be stored.

    :param max_task_bytes: largest size of one task as JSON
    """
    tasks = list(record.tasks)
    sizes = [len(msgspec.json.encode(task)) for task in tasks]
    total = sum(sizes)
    longest_first = sorted(
        range(len(tasks)),
        key=lambda index: len(tasks[index].checkpoint),
        reverse=True,
    )
    for index in longest_first:
        if total <= MAX_PROGRESS_BYTES and sizes[index] <= max_task_bytes:
            break
        bare = msgspec.structs.replace(tasks[index], checkpoint="")
        total -= sizes[index] - len(msgspec.json.encode(bare))
        tasks[index] = bare
    return msgspec.structs.replace(record, tasks=tasks)


def _divide(tasks: list[TaskRecord], max_bytes: int) -> list[list[TaskRecord]]:
    """Divide tasks into groups of at most a number of bytes of JSON each."""
    groups: list[list[TaskRecord]] = [[]]
    size = 0
    for task in tasks:
        # Tasks are separated by a comma.
        task_size = len(msgspec.json.encode(task)) + 1
        if groups[-1] and size + task_size > max_bytes:
            groups.append([])
            size = 0
        groups[-1].append(task)
        size += task_size
    return groups
