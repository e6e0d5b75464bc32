"""States of workflows that the leader has told this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from carawaystep.workflow.workflow_state import WorkflowState

# Workflows remembered at the most; beyond it the oldest are asked for again.
_MAX_WORKFLOWS = 20_000

# Counts are shown while they are at most this old.
_MAX_COUNT_AGE_S = 4.0


class PublishedStateCache:
    """Stored states by workflow, and counts by queue.

    A final state never changes back, whatever order messages arrive in.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self._states: dict[str, WorkflowState] = {}
        self._queued: Mapping[str, int] | None = None
        self._queued_at = 0.0

    def apply(self, states: Mapping[str, WorkflowState]) -> None:
        """Take states."""
        for workflow_id, state in states.items():
            cached = self._states.pop(workflow_id, None)
            if cached is not None and cached.final:
                state = cached
            self._states[workflow_id] = state
        while len(self._states) > _MAX_WORKFLOWS:
            del self._states[next(iter(self._states))]

    def apply_queued(self, queued: Mapping[str, int], now: float) -> None:
        """Take the counts of all queues."""
        self._queued = queued
        self._queued_at = now

    def get(self, workflow_id: str) -> WorkflowState | None:
        """Return the last state told."""
        return self._states.get(workflow_id)

    def queued(self, queue: str, now: float) -> int | None:
        """Return a queue's count, None when it is too old."""
        if self._queued is None or now - self._queued_at > _MAX_COUNT_AGE_S:
            return None
        return self._queued.get(queue, 0)
