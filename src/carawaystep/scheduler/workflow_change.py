"""What a batch of changes stores of each workflow."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from carawaystep.scheduler.progress_rows import lay_out

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from carawaystep.planner.changes import Changes
    from carawaystep.scheduler.progress_rows import ProgressLayout
    from carawaystep.scheduler.progress_rows import ProgressRows
    from carawaystep.workflow.workflow_spec import WorkflowSpec
    from carawaystep.workflow.workflow_state import WorkflowState

# The store accepts 100 entries in a transaction and counts a condition on a
# row and a change of that row separately. The check of the leader row is one.
_MAX_ENTRIES = 99
# The insert of a submission, the checks that it was neither ended nor
# cancelled, or the final state and the deletion of the submission.
_ENTRIES_BESIDE_PROGRESS = 4
_ENTRIES_PER_ROW = 2
# Size of the JSON in a transaction, unless one workflow alone is larger. The
# store accepts 1 MB; this much arrives in time on a link of 5 Mbit/s.
_MAX_COMMIT_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class WorkflowChange:
    """The part of a batch that concerns one workflow.

    :param workflow_id: id of the workflow
    :param spec: submission to insert, None if another process has stored it
        or the workflow has settled
    :param progress: rows of its progress, None if there are none to store
    :param final_state: its state if it has settled, otherwise None
    :param cancelled: whether it has been cancelled
    :param has_starts: whether the batch has starts of its tasks
    :param size: bytes of JSON to store
    :param entry_count: largest number of entries that it needs
    """

    workflow_id: str
    spec: WorkflowSpec | None
    progress: ProgressLayout | None
    final_state: WorkflowState | None
    cancelled: bool
    has_starts: bool
    size: int
    entry_count: int


def workflow_changes(
    changes: Changes, rows: ProgressRows, max_row_bytes: int
) -> list[WorkflowChange]:
    """Return what a batch stores of each workflow.

    :param rows: the stored rows of progress, which are replaced
    :param max_row_bytes: largest value of a row
    """
    specs = {spec.id: spec for spec in changes.accepted}
    started = {order.ref.workflow for order in changes.orders}
    found = []
    for workflow_id in {**specs, **changes.progress}:
        final_state = changes.settled.get(workflow_id)
        spec = specs.get(workflow_id) if final_state is None else None
        progress = None
        record = changes.progress.get(workflow_id)
        if record is not None and final_state is None:
            progress = lay_out(record, max_row_bytes)
        size = 0 if spec is None else len(msgspec.json.encode(spec))
        row_count = rows.row_count(workflow_id)
        if progress is not None:
            size += progress.size
            row_count = max(row_count, len(progress.values))
        found.append(
            WorkflowChange(
                workflow_id,
                spec,
                progress,
                final_state,
                record is not None and record.cancelled,
                workflow_id in started,
                size,
                _ENTRIES_BESIDE_PROGRESS + _ENTRIES_PER_ROW * row_count,
            )
        )
    return found


def transactions(
    found: Iterable[WorkflowChange],
) -> Iterator[list[WorkflowChange]]:
    """Divide changes into groups that each fit in one transaction."""
    group: list[WorkflowChange] = []
    size = 0
    entry_count = 0
    for change in found:
        is_full = (
            entry_count + change.entry_count > _MAX_ENTRIES
            or size + change.size > _MAX_COMMIT_BYTES
        )
        if group and is_full:
            yield group
            group = []
            size = 0
            entry_count = 0
        group.append(change)
        size += change.size
        entry_count += change.entry_count
    if group:
        yield group
