"""What callers were told about one workflow."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.workflow.workflow_state import WorkflowState


@dataclass(slots=True)
class WorkflowPromise:
    """Calls for one workflow and their outcomes.

    :param accepted_at: when a caller was first told that it is accepted
    :param maybe_stored: whether a submission was not definitely refused
    :param open_attempts: number of submissions without an outcome yet
    :param cancel_sent: whether a cancellation was sent
    :param cancelled_at: when a cancellation was first confirmed
    :param final_state: final state that a caller was shown
    :param final_shown_at: when it was first shown
    :param started: whether a task has started on a worker
    """

    accepted_at: float | None = None
    maybe_stored: bool = False
    open_attempts: int = 0
    cancel_sent: bool = False
    cancelled_at: float | None = None
    final_state: WorkflowState | None = None
    final_shown_at: float | None = None
    started: bool = False
