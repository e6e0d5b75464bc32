"""A task that runs on a stand-in worker."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from carawaystep.standin.worker.checkpoint_key import checkpoint_key
from carawaystep.standin.worker.checkpoint_key import parse_done_share
from carawaystep.worker.execution_end import ExecutionEnd

if TYPE_CHECKING:
    from carawaystep.standin.worker.execution import Execution

_THROTTLED_SPEED = 0.5


class TaskRun:
    """Progress, speed and lease of a running task.

    The progress is the completed share of the whole job over all attempts.
    It is stored only when the speed changes, and computed in between.
    """

    def __init__(
        self,
        execution: Execution,
        total_s: float | None,
        fails_at_share: float | None,
        checkpoint: str | None,
        lease_until: float,
    ) -> None:
        """Start the task.

        :param execution: its ledger record
        :param total_s: run time of the whole job at full speed in seconds,
            None for a task of a standing service
        :param fails_at_share: share at which it fails, None if it succeeds
        :param checkpoint: object key to resume from, or None
        :param lease_until: expiry of its lease in monotonic seconds
        """
        self._execution = execution
        self._total_s = total_s
        self._checkpoint = checkpoint
        self._done_share = parse_done_share(checkpoint)
        self._final_share = 1.0
        self._final_how = ExecutionEnd.DONE
        if fails_at_share is not None:
            self._final_share = fails_at_share
            self._final_how = ExecutionEnd.FAILED
        self._speed = 1.0
        self._progress_updated_at = execution.start
        self._lease_until = lease_until

    @property
    def execution(self) -> Execution:
        """Return its ledger record."""
        return self._execution

    @property
    def checkpoint(self) -> str | None:
        """Return the object key of its last checkpoint, or None."""
        return self._checkpoint

    def next_end(self) -> tuple[float, ExecutionEnd]:
        """Return the time and the manner of its end without further calls."""
        finishes_at = self._finishes_at()
        if self._lease_until < finishes_at:
            return self._lease_until, ExecutionEnd.LAPSED
        return finishes_at, self._final_how

    def renew_lease(self, until: float) -> None:
        """Renew the lease; an earlier expiry is ignored.

        :param until: new expiry in monotonic seconds
        """
        self._lease_until = max(self._lease_until, until)

    def throttle(self, now: float) -> None:
        """Halve the speed; a repeated call does not reduce it further."""
        self._done_share = self._done_share_at(now)
        self._progress_updated_at = now
        self._speed = _THROTTLED_SPEED

    def take_checkpoint(self, now: float) -> str:
        """Take a checkpoint and return its object key."""
        self._checkpoint = checkpoint_key(
            self._execution.id,
            self._execution.attempt,
            self._done_share_at(now),
        )
        return self._checkpoint

    def _finishes_at(self) -> float:
        if self._total_s is None:
            return math.inf
        remaining_share = max(0.0, self._final_share - self._done_share)
        return (
            self._progress_updated_at
            + remaining_share * self._total_s / self._speed
        )

    def _done_share_at(self, now: float) -> float:
        if self._total_s is None:
            return 0.0
        run_s = (now - self._progress_updated_at) * self._speed
        return min(1.0, self._done_share + run_s / self._total_s)
