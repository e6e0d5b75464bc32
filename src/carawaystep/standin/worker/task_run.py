"""Progress and lease of a task on a stand-in worker."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from carawaystep.standin.worker.checkpoint_key import checkpoint_name
from carawaystep.standin.worker.checkpoint_key import done_share
from carawaystep.worker.execution_end import ExecutionEnd

if TYPE_CHECKING:
    from carawaystep.standin.worker.execution import Execution

_THROTTLED_SPEED = 0.5


class TaskRun:
    """A task that runs under a lease.

    Its progress is the share of the whole task that is done, over all
    attempts. Progress is settled only when the speed changes.
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

        :param execution: its record in the ledger
        :param total_s: run time of the whole task at full speed, None for
            endless work
        :param fails_at_share: share at which it fails, None when it does not
        :param checkpoint: object key to resume from, or None
        :param lease_until: end of its lease, seconds of a monotonic clock
        """
        self._execution = execution
        self._total_s = total_s
        self._checkpoint = checkpoint
        self._done = done_share(checkpoint)
        self._end_share = 1.0
        self._end = ExecutionEnd.DONE
        if fails_at_share is not None:
            self._end_share = fails_at_share
            self._end = ExecutionEnd.FAILED
        self._speed = 1.0
        self._settled_at = execution.start
        self._lease_until = lease_until

    @property
    def execution(self) -> Execution:
        """Return its record in the ledger."""
        return self._execution

    @property
    def checkpoint(self) -> str | None:
        """Return the object key that it resumed from."""
        return self._checkpoint

    def due(self) -> tuple[float, ExecutionEnd]:
        """Return when and how it ends if nothing changes."""
        finish = self._finish_at()
        if self._lease_until < finish:
            return self._lease_until, ExecutionEnd.LAPSED
        return finish, self._end

    def renew(self, until: float) -> None:
        """Renew the lease; it never becomes shorter.

        :param until: end of the lease, seconds of a monotonic clock
        """
        self._lease_until = max(self._lease_until, until)

    def throttle(self, now: float) -> None:
        """Halve the speed; a repeated call changes nothing."""
        self._done = self._done_at(now)
        self._settled_at = now
        self._speed = _THROTTLED_SPEED

    def save(self, now: float) -> str:
        """Return the object key of a checkpoint taken now."""
        self._checkpoint = checkpoint_name(
            self._execution.id, self._execution.attempt, self._done_at(now)
        )
        return self._checkpoint

    def _finish_at(self) -> float:
        if self._total_s is None:
            return math.inf
        left = max(0.0, self._end_share - self._done)
        return self._settled_at + left * self._total_s / self._speed

    def _done_at(self, now: float) -> float:
        if self._total_s is None:
            return 0.0
        run_s = (now - self._settled_at) * self._speed
        return min(1.0, self._done + run_s / self._total_s)
