"""States of a workflow."""

from __future__ import annotations

from enum import StrEnum


class WorkflowState(StrEnum):
    """State of a workflow as reported to callers."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Tell whether the state can no longer change."""
        return self in _FINAL


_FINAL = frozenset(
    {WorkflowState.DONE, WorkflowState.FAILED, WorkflowState.CANCELLED}
)
