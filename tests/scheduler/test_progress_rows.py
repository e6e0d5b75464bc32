"""Tests of progress that takes several rows of the store."""

from __future__ import annotations

from base64 import b64encode
from typing import TYPE_CHECKING

import msgspec
from testtools import TestCase

from carawaystep.scheduler import tables
from carawaystep.scheduler.progress_rows import lay_out
from carawaystep.scheduler.progress_rows import MAX_PROGRESS_BYTES
from carawaystep.scheduler.progress_rows import ProgressRows
from carawaystep.store.operation import DeleteRow
from carawaystep.store.operation import PutRow
from carawaystep.store.row import Row
from carawaystep.workflow.workflow_record import TaskRecord
from carawaystep.workflow.workflow_record import WorkflowRecord
from carawaystep_platform.submissions import MAX_ROW_BYTES
from carawaystep_platform.submissions import MAX_TASKS
from tests.planner.planners import RecordingLog

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.store.operation import Operation

_ID = "5c0e7a21d94b36f8"
_LONGEST_WORKER_ID = "i" * 200
_ROW_BYTES = 4096


def _record(
    tasks: int, checkpoint: str = "00000bb87a21d94b"
) -> WorkflowRecord:
    return WorkflowRecord(
        [
            TaskRecord(
                999,
                9,
                index,
                "placed",
                99,
                _LONGEST_WORKER_ID,
                1764880000000,
                checkpoint,
                9,
            )
            for index in range(tasks)
        ],
        started_in_turn=False,
    )


class _Table:
    """Applies the operations of one class under test to a table."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.revision = 7
        self.progress = ProgressRows(RecordingLog())

    def store(self, record: WorkflowRecord) -> list[Operation]:
        layout = lay_out(record, _ROW_BYTES)
        operations = self.progress.put_operations(_ID, layout)
        self._apply(operations)
        return operations

    def delete(self) -> None:
        self._apply(self.progress.delete_operations(_ID))

    def restore(self) -> dict[str, WorkflowRecord]:
        return ProgressRows(RecordingLog()).restore(self.rows.values())

    def _apply(self, operations: Iterable[Operation]) -> None:
        self.revision += 1
        for operation in operations:
            row = self.rows.get(operation.key)
            version = 0 if row is None else row.version
            assert operation.expected == version, operation
            if isinstance(operation, PutRow):
                value = msgspec.json.decode(
                    msgspec.json.encode(operation.value)
                )
                self.rows[operation.key] = Row(
                    operation.key, value, self.revision, self.revision
                )
            elif isinstance(operation, DeleteRow):
                del self.rows[operation.key]
        self.progress.record_commit(operations, self.revision)


class ProgressRowsTest(TestCase):
    """Progress of one workflow."""

    def test_largest_submission_fits_in_rows_and_in_a_transaction(
        self,
    ) -> None:
        """Guards against a row of progress that the store never accepts.

        The leader repeated the refused transaction without end. Worker ids
        have up to 200 bytes, and checkpoints have no stated limit.
        """
        for checkpoint in ("", "c" * 16, "c" * 200, "c" * 5000, "c" * 90_000):
            layout = lay_out(_record(MAX_TASKS, checkpoint), MAX_ROW_BYTES)
            sizes = [
                len(b64encode(msgspec.json.encode(value)))
                for value in layout.values
            ]
            self.assertLessEqual(max(sizes), MAX_ROW_BYTES)
            self.assertLess(sum(sizes), 600_000)
            # A condition and a write for each row, and four other entries.
            self.assertLess(2 * len(layout.values) + 5, 100)

    def test_checkpoints_are_kept_while_they_fit(self) -> None:
        """Guards against work that is repeated for want of a checkpoint."""
        kept = lay_out(_record(MAX_TASKS, "c" * 200), MAX_ROW_BYTES)
        self.assertEqual(0, kept.dropped_checkpoints)
        tasks = [*_record(2).tasks, *_record(1, "c" * 70_000).tasks]
        layout = lay_out(WorkflowRecord(tasks), MAX_ROW_BYTES)
        self.assertEqual(1, layout.dropped_checkpoints)
        stored = [task[7] for v in layout.values for task in v["tasks"]]
        self.assertEqual([tasks[0].checkpoint] * 2 + [""], stored)
        excess = lay_out(_record(MAX_TASKS, "c" * 400), MAX_ROW_BYTES)
        self.assertLess(excess.size, MAX_PROGRESS_BYTES + 4096)
        self.assertLess(excess.dropped_checkpoints, MAX_TASKS)

    def test_progress_in_several_rows_is_restored(self) -> None:
        """Guards against a new leader that misses a part of the tasks."""
        table = _Table()
        for tasks in (1, 100, 200, 30, 1):
            record = _record(tasks)
            table.store(record)
            self.assertEqual({_ID: record}, table.restore(), tasks)
        table.store(_record(100))
        table.delete()
        self.assertEqual({}, table.rows)

    def test_rows_that_stay_the_same_are_not_written(self) -> None:
        """Guards against writing all of a large workflow for each end."""
        table = _Table()
        record = _record(100)
        table.store(record)
        done = msgspec.structs.replace(record.tasks[99], state="done")
        tasks = [*record.tasks[:99], done]
        operations = table.store(WorkflowRecord(tasks, started_in_turn=False))
        self.assertEqual(1, len(operations))
        self.assertEqual(tasks, table.restore()[_ID].tasks)

    def test_restored_rows_are_replaced(self) -> None:
        """Guards against conflicts of a new leader with the earlier rows."""
        table = _Table()
        table.store(_record(200))
        table.progress = ProgressRows(RecordingLog())
        table.progress.restore(table.rows.values())
        table.store(_record(20))
        self.assertEqual({_ID: _record(20)}, table.restore())

    def test_incomplete_progress_is_not_restored(self) -> None:
        """Guards against starting the tasks of a missing row again."""
        table = _Table()
        table.store(_record(100))
        for key in list(table.rows):
            rows = [row for row in table.rows.values() if row.key != key]
            log = RecordingLog()
            progress = ProgressRows(log)
            self.assertEqual({}, progress.restore(rows), key)
            self.assertGreater(progress.row_count(_ID), 0)
            self.assertIn("row.unreadable", log.fields)

    def test_keys_of_other_writers_are_no_further_rows(self) -> None:
        """Guards against a row that ends the term of each leader."""
        odd = [Row(key, {}, 9, 9) for key in (".1", f"{_ID}.", f"{_ID}.²")]
        self.assertEqual({}, ProgressRows(RecordingLog()).restore(odd))

    def test_lost_answer_is_resolved_by_the_present_versions(self) -> None:
        """Guards against a conflict that is repeated without end."""
        table = _Table()
        table.store(_record(100))
        for key, row in table.rows.items():
            table.progress.adopt_version(key, row.version + 1)
        operations = table.progress.put_operations(
            _ID, lay_out(_record(100), _ROW_BYTES)
        )
        self.assertEqual(
            [
                (tables.PROGRESS, row.key, row.version + 1)
                for row in table.rows.values()
            ],
            [(o.table, o.key, o.expected) for o in operations],
        )
