"""Fake port of an entry to a worker."""

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
# A dispatch already in progress when the refusal arrived may still be sent
# for this time.
_IN_FLIGHT_TOLERANCE_S = 0.05


class FakeWorkerPort(WorkerPort):
    """Calls a fake worker over the fake network.

    It also records dispatches that the entry must not make: under a token
    that it knows to be refused, or to a worker that it knows to be leaving.
    """

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
        :param availability_zone: availability zone of the worker
        :param network: network that carries the calls
        :param source: network names of the calling process: process, entry
            and availability zone
        :param dispatch_violations: collects descriptions of forbidden
            dispatches
        """
        self._worker = worker
        self._target = (worker.name, availability_zone)
        self._network = network
        self._source = source
        self._dispatch_violations = dispatch_violations
        # Times at which this process learned that a token is refused, and
        # that a run of the worker is leaving.
        self._token_refused_at: dict[int, float] = {}
        self._run_leaving_at: dict[int, float] = {}

    async def fence(
        self, owner: str, token: int
    ) -> Result[FenceAnswer, WorkerFailure]:
        """Make the worker refuse all calls with lower fencing tokens."""
        return await self._call(lambda: self._worker.fence(token))

    async def run_request(
        self, request: WorkerRequest, token: int, timeout_s: float
    ) -> Result[bytes, WorkerFailure]:
        """Run a request and return its complete answer."""
        self._check_dispatch(token)
        return await self._call(
            lambda: self._worker.run_request(request, token),
            timeout_s,
            token,
        )

    async def start_task(
        self, task: WorkerTask, token: int
    ) -> Result[None, WorkerFailure]:
        """Start an attempt of a job."""
        self._check_dispatch(token)
        return await self._call(
            lambda: self._worker.start_task(task, token), token=token
        )

    async def renew_leases(
        self, attempts: Sequence[tuple[str, int]], until_s: float, token: int
    ) -> Result[frozenset[str], WorkerFailure]:
        """Renew the leases of tasks."""
        return await self._call(
            lambda: self._worker.renew(attempts, until_s, token), token=token
        )

    async def checkpoint_task(
        self, job_id: str, attempt: int, token: int
    ) -> Result[None, WorkerFailure]:
        """Checkpoint a task, then stop it; it ends as evicted."""
        return await self._call(
            lambda: self._worker.end_task(job_id, attempt, token, True)
        )

    async def throttle_task(
        self, job_id: str, attempt: int, token: int
    ) -> Result[None, WorkerFailure]:
        """Refuse; the fake worker does not model the speed of tasks."""
        return Err(WorkerRefused("not supported"))

    async def stop_task(
        self, job_id: str, attempt: int, token: int
    ) -> Result[None, WorkerFailure]:
        """Stop a task without a checkpoint."""
        return await self._call(
            lambda: self._worker.end_task(job_id, attempt, token, False)
        )

    async def report(
        self, since: int, wait_s: float, acknowledged: int, token: int
    ) -> Result[WorkerReport, WorkerFailure]:
        """Wait for new events of the worker."""
        run = self._worker.run_number
        answer = await self._call(
            lambda: self._worker.report(since, wait_s, acknowledged, token),
            wait_s + _REPORT_MARGIN_S,
            token,
        )
        if isinstance(answer, Ok) and answer.ok_value.leaving:
            self._run_leaving_at.setdefault(run, _now())
        return answer

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    async def _call(
        self,
        handle: Callable[[], Awaitable[Result[Value, WorkerFailure]]],
        timeout_s: float = _TIMEOUT_S,
        token: int = 0,
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
            if isinstance(failure, WorkerRefused) and failure.token_refused:
                self._token_refused_at.setdefault(token, _now())
        return answer

    def _check_dispatch(self, token: int) -> None:
        """Record a violation if the process must know not to dispatch."""
        tolerated_since = _now() - _IN_FLIGHT_TOLERANCE_S
        refused_at = min(
            (
                at
                for refused, at in self._token_refused_at.items()
                if refused >= token
            ),
            default=tolerated_since,
        )
        if refused_at < tolerated_since:
            self._dispatch_violations.append(
                f"{self._source[0]} dispatched work to {self._worker.name}"
                f" with the refused token {token}"
            )
        if (
            self._run_leaving_at.get(self._worker.run_number, tolerated_since)
            < tolerated_since
        ):
            self._dispatch_violations.append(
                f"{self._source[0]} dispatched work to {self._worker.name}"
                " after the worker had reported that it is leaving"
            )


def _now() -> float:
    return asyncio.get_running_loop().time()
