"""Port to one worker."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from carawaystep.worker.fence_answer import FenceAnswer
    from carawaystep.worker.worker_failure import WorkerFailure
    from carawaystep.worker.worker_report import WorkerReport
    from carawaystep.worker.worker_request import WorkerRequest
    from carawaystep.worker.worker_task import WorkerTask


class WorkerPort(ABC):
    """Calls to one worker.

    Each call is sent at most once. ``WorkerRefused`` is returned only when
    the call certainly had no effect; every doubt is ``WorkerUnknown``.
    """

    @abstractmethod
    async def fence(
        self, owner: str, epoch: int
    ) -> Result[FenceAnswer, WorkerFailure]:
        """Make the worker refuse all epochs below this one.

        Repeating the call with the same epoch has no further effect.

        :param owner: name of the entry that owns the worker
        :param epoch: epoch of the ownership row
        """

    @abstractmethod
    async def run_request(
        self, request: WorkerRequest, epoch: int, timeout_s: float
    ) -> Result[bytes, WorkerFailure]:
        """Run a request and return its whole answer.

        :param request: the dispatch
        :param epoch: epoch of the caller's ownership
        :param timeout_s: seconds until the result is unknown
        """

    @abstractmethod
    async def start_task(
        self, task: WorkerTask, epoch: int
    ) -> Result[None, WorkerFailure]:
        """Start an attempt; repeating it has no further effect."""

    @abstractmethod
    async def renew_leases(
        self, attempts: Sequence[tuple[str, int]], until_s: float, epoch: int
    ) -> Result[frozenset[str], WorkerFailure]:
        """Renew the leases of tasks.

        The end is given by the worker's own clock, so that a renewal that
        was delayed on its way extends nothing beyond what its sender counts.

        :param attempts: job ids with attempt numbers
        :param until_s: end of the leases by the worker's own clock
        :param epoch: epoch of the caller's ownership
        :returns: job ids whose attempt the worker does not run
        """

    @abstractmethod
    async def checkpoint_task(
        self, job_id: str, attempt: int, epoch: int
    ) -> Result[None, WorkerFailure]:
        """Checkpoint a task and end it as evicted."""

    @abstractmethod
    async def throttle_task(
        self, job_id: str, attempt: int, epoch: int
    ) -> Result[None, WorkerFailure]:
        """Slow a task down."""

    @abstractmethod
    async def stop_task(
        self, job_id: str, attempt: int, epoch: int
    ) -> Result[None, WorkerFailure]:
        """Stop a task without a checkpoint."""

    @abstractmethod
    async def report(
        self, since: int, wait_s: float, acknowledged: int, epoch: int
    ) -> Result[WorkerReport, WorkerFailure]:
        """Wait for news from the worker.

        :param since: sequence of the last report
        :param wait_s: seconds after which the worker answers without news
        :param acknowledged: the worker may forget ends up to this sequence
        :param epoch: token of the last fence; a worker that has restarted
            refuses it, because its sequences have begun anew
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections to the worker."""
