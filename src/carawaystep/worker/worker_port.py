"""Interface to one worker."""

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
    the call certainly had no effect. If that is not certain, the failure is
    ``WorkerOutcomeUnknown``. The parameter ``token`` is the fencing token of
    the caller's ownership guard.
    """

    @abstractmethod
    async def fence(
        self, owner: str, token: int
    ) -> Result[FenceAnswer, WorkerFailure]:
        """Make the worker refuse all calls with lower fencing tokens.

        Idempotent: a repeat with the same token has no further effect.

        :param owner: name of the entry that owns the worker
        :param token: fencing token to accept
        """

    @abstractmethod
    async def run_request(
        self, request: WorkerRequest, token: int, timeout_s: float
    ) -> Result[bytes, WorkerFailure]:
        """Run a request and return its complete answer.

        :param request: the request to dispatch
        :param token: fencing token of the caller
        :param timeout_s: seconds after which the outcome is unknown
        """

    @abstractmethod
    async def start_task(
        self, task: WorkerTask, token: int
    ) -> Result[None, WorkerFailure]:
        """Start an attempt of a job.

        Idempotent: a repeat of the same attempt has no further effect.

        :param task: the attempt to start
        :param token: fencing token of the caller
        """

    @abstractmethod
    async def renew_leases(
        self, attempts: Sequence[tuple[str, int]], until_s: float, token: int
    ) -> Result[frozenset[str], WorkerFailure]:
        """Renew the leases of tasks.

        The expiry is a time of the worker's clock, so that a delayed renewal
        does not extend a lease beyond the expiry that its sender assumes.

        :param attempts: pairs of job id and attempt number
        :param until_s: expiry by the worker's monotonic clock, seconds
        :param token: fencing token of the caller
        :returns: ids of the jobs whose attempt the worker does not run
        """

    @abstractmethod
    async def checkpoint_task(
        self, job_id: str, attempt: int, token: int
    ) -> Result[None, WorkerFailure]:
        """Checkpoint a task, then stop it; it ends as evicted.

        Not called by the entry yet.
        """

    @abstractmethod
    async def throttle_task(
        self, job_id: str, attempt: int, token: int
    ) -> Result[None, WorkerFailure]:
        """Reduce the speed of a task; not called by the entry yet."""

    @abstractmethod
    async def stop_task(
        self, job_id: str, attempt: int, token: int
    ) -> Result[None, WorkerFailure]:
        """Stop a task without a checkpoint."""

    @abstractmethod
    async def report(
        self, since: int, wait_s: float, acknowledged: int, token: int
    ) -> Result[WorkerReport, WorkerFailure]:
        """Wait for new events of the worker (long poll).

        :param since: sequence number of the last report
        :param wait_s: seconds after which the worker answers without events
        :param acknowledged: sequence number up to which ended tasks are
            stored, so that the worker may discard them
        :param token: token of the last fence; a restarted worker refuses it,
            because the worker's sequence numbers have started again
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections to the worker."""
