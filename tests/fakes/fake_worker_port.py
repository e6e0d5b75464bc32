"""A worker as one entry reaches it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar

from result import Err
from result import Ok

from carawaystep.worker.worker_failure import WorkerFailure
from carawaystep.worker.worker_failure import WorkerOutcomeUnknown
from carawaystep.worker.worker_failure import WorkerRefused
from carawaystep.worker.worker_port import WorkerPort
from tests.fakes.fake_network import NoAnswer

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
# Tasks that were about to run when the answer came.
_NOTICE_S = 0.05


class FakeWorkerPort(WorkerPort):
    """Calls a fake worker over the fake network."""

    def __init__(
        self,
        worker: FakeWorker,
        availability_zone: str,
        network: FakeNetwork,
        source: tuple[str, ...],
        dispatch_violations: list[str],
    ) -> None:
        """Create the port of one entry.

        :param worker: the worker
        :param availability_zone: where it is
        :param network: carries the calls
        :param source: names of the process, its entry and availability zone
        :param dispatch_violations: collects descriptions of forbidden
            dispatches
        """
        self._worker = worker
        self._target = (worker.name, availability_zone)
        self._network = network
        self._source = source
        self._dispatch_violations = dispatch_violations
        # Refused tokens, and runs of the worker that leave, with the time at
        # which this process was told.
        self._refused: dict[int, float] = {}
        self._leaving: dict[int, float] = {}

    async def fence(
        self, owner: str, epoch: int
    ) -> Result[FenceAnswer, WorkerFailure]:
        """Make the worker refuse all epochs below this one."""
        return await self._call(lambda: self._worker.fence(epoch))

    async def run_request(
        self, request: WorkerRequest, epoch: int, timeout_s: float
    ) -> Result[bytes, WorkerFailure]:
        """Run a request and return its whole answer."""
        self._check_dispatch(epoch)
        return await self._call(
            lambda: self._worker.run_request(request, epoch),
            timeout_s,
            epoch,
        )

    async def start_task(
        self, task: WorkerTask, epoch: int
    ) -> Result[None, WorkerFailure]:
        """Start an attempt."""
        self._check_dispatch(epoch)
        return await self._call(
            lambda: self._worker.start_task(task, epoch), epoch=epoch
        )

    async def renew_leases(
        self, attempts: Sequence[tuple[str, int]], until_s: float, epoch: int
    ) -> Result[frozenset[str], WorkerFailure]:
        """Renew the leases of tasks."""
        return await self._call(
            lambda: self._worker.renew(attempts, until_s, epoch), epoch=epoch
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
        run = self._worker.run_number
        answer = await self._call(
            lambda: self._worker.report(since, wait_s, acknowledged, epoch),
            wait_s + _REPORT_MARGIN_S,
            epoch,
        )
        if isinstance(answer, Ok) and answer.ok_value.leaving:
            self._leaving.setdefault(run, _now())
        return answer

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    async def _call(
        self,
        handle: Callable[[], Awaitable[Result[Value, WorkerFailure]]],
        timeout_s: float = _TIMEOUT_S,
        epoch: int = 0,
    ) -> Result[Value, WorkerFailure]:
        answer = await self._network.call(
            self._source, self._target, handle, timeout_s
        )
        if answer is NoAnswer.NOT_SENT:
            return Err(WorkerRefused("no connection"))
        if isinstance(answer, NoAnswer):
            return Err(WorkerOutcomeUnknown("no answer"))
        if isinstance(answer, Err):
            failure = answer.err_value
            if isinstance(failure, WorkerRefused) and failure.stale_epoch:
                self._refused.setdefault(epoch, _now())
        return answer

    def _check_dispatch(self, epoch: int) -> None:
        """Note new work that the process knows it may not give."""
        latest = _now() - _NOTICE_S
        refused_at = min(
            (at for token, at in self._refused.items() if token >= epoch),
            default=latest,
        )
        if refused_at < latest:
            self._dispatch_violations.append(
                f"{self._source[0]} gave {self._worker.name} work under the"
                f" refused token {epoch}"
            )
        if self._leaving.get(self._worker.run_number, latest) < latest:
            self._dispatch_violations.append(
                f"{self._source[0]} gave work to {self._worker.name}, which"
                " had told it that it leaves"
            )


def _now() -> float:
    return asyncio.get_running_loop().time()
