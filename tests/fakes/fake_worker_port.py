"""A worker as one entry reaches it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from result import Err
from result import Ok

from carawaystep.worker.worker_failure import WorkerFailure
from carawaystep.worker.worker_failure import WorkerRefused
from carawaystep.worker.worker_failure import WorkerUnknown
from carawaystep.worker.worker_port import WorkerPort
from tests.fakes.fake_network import Lost

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from result import Result

    from carawaystep.worker.fence_answer import FenceAnswer
    from carawaystep.worker.worker_report import WorkerReport
    from carawaystep.worker.worker_request import WorkerRequest
    from carawaystep.worker.worker_task import WorkerTask
    from tests.fakes.fake_network import FakeNetwork
    from tests.fakes.fake_worker import FakeWorker

Value = TypeVar("Value")

_TIMEOUT_S = 3.0
_REPORT_MARGIN_S = 2.0


class FakeWorkerPort(WorkerPort):
    """Calls a fake worker over the fake network."""

    def __init__(
        self,
        worker: FakeWorker,
        availability_zone: str,
        network: FakeNetwork,
        source: tuple[str, ...],
    ) -> None:
        """Create the port of one entry.

        :param worker: the worker
        :param availability_zone: where it is
        :param network: carries the calls
        :param source: names of the process, its entry and availability zone
        """
        self._worker = worker
        self._target = (worker.name, availability_zone)
        self._network = network
        self._source = source

    async def fence(
        self, owner: str, epoch: int
    ) -> Result[FenceAnswer, WorkerFailure]:
        """Make the worker refuse all epochs below this one."""
        return await self._call(lambda: self._worker.fence(epoch))

    async def run_request(
        self, request: WorkerRequest, epoch: int, timeout_s: float
    ) -> Result[bytes, WorkerFailure]:
        """Run a request and return its whole answer."""
        return await self._call(
            lambda: self._worker.run_request(request, epoch), timeout_s
        )

    async def start_task(
        self, task: WorkerTask, epoch: int
    ) -> Result[None, WorkerFailure]:
        """Start an attempt."""
        return await self._call(lambda: self._worker.start_task(task, epoch))

    async def renew_leases(
        self, attempts: Sequence[tuple[str, int]], until_s: float, epoch: int
    ) -> Result[frozenset[str], WorkerFailure]:
        """Renew the leases of tasks."""
        return await self._call(
            lambda: self._worker.renew(attempts, until_s, epoch)
        )

    async def checkpoint_task(
        self, job_id: str, attempt: int, epoch: int
    ) -> Result[None, WorkerFailure]:
        """Checkpoint a task and end it as evicted."""
        return await self._call(
            lambda: self._worker.end_task(job_id, attempt, epoch, True)
        )

    async def throttle_task(
        self, job_id: str, attempt: int, epoch: int
    ) -> Result[None, WorkerFailure]:
        """Do nothing; speed plays no part in the proofs."""
        return Err(WorkerRefused("not supported"))

    async def stop_task(
        self, job_id: str, attempt: int, epoch: int
    ) -> Result[None, WorkerFailure]:
        """Stop a task without a checkpoint."""
        return await self._call(
            lambda: self._worker.end_task(job_id, attempt, epoch, False)
        )

    async def report(
        self, since: int, wait_s: float, acknowledged: int, epoch: int
    ) -> Result[WorkerReport, WorkerFailure]:
        """Wait for news from the worker."""
        answer = await self._call(
            lambda: self._worker.report(since, wait_s, acknowledged, epoch),
            wait_s + _REPORT_MARGIN_S,
        )
        if isinstance(answer, Ok):
            self._worker.tell(answer.ok_value.ended)
        return answer

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    async def _call(
        self,
        effect: Callable[[], Awaitable[Result[Value, WorkerFailure]]],
        timeout_s: float = _TIMEOUT_S,
    ) -> Result[Value, WorkerFailure]:
        answer = await self._network.call(
            self._source, self._target, effect, timeout_s
        )
        if answer is Lost.NOT_SENT:
            return Err(WorkerRefused("no connection"))
        if isinstance(answer, Lost):
            return Err(WorkerUnknown("no answer"))
        return answer
