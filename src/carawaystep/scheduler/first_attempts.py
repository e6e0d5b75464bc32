"""First attempts of the submissions that a node has turned away."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.workflow.workflow_spec import WorkflowSpec

# When more are remembered, the oldest are forgotten and count as newcomers.
MAX_FIRST_ATTEMPTS = 4096


class FirstAttempts:
    """Keeps the place of callers that were turned away and come back.

    The time of a submission counts from its first attempt. Its deadline is
    therefore earlier than that of a newcomer of the same weight, which
    decides who goes first, and it ends when the caller's use does.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        # Wall-clock times in seconds by workflow id.
        self._times: dict[str, float] = {}

    def record(self, spec: WorkflowSpec) -> None:
        """Record that a submission was turned away."""
        self._times.setdefault(spec.id, spec.accepted_at_s)
        if len(self._times) > MAX_FIRST_ATTEMPTS:
            del self._times[next(iter(self._times))]

    def restore(self, spec: WorkflowSpec) -> WorkflowSpec:
        """Return a submission with the time of its first attempt.

        An attempt after the use of the first one has ended is a new one.
        """
        first_at = self._times.get(spec.id)
        if first_at is None:
            return spec
        if spec.accepted_at_s > first_at + spec.useful_duration_s:
            del self._times[spec.id]
            return spec
        return replace(spec, accepted_at_s=min(first_at, spec.accepted_at_s))
