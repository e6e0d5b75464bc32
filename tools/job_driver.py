"""Client that submits batch jobs and follows their states."""

from __future__ import annotations

import asyncio
from collections import Counter
import json
from secrets import token_hex
from time import monotonic
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.job.job_state import JobState

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from tools.entry_rotation import EntryRotation
    from tools.http_caller import HttpCaller

_CALL_TIMEOUT_S = 5.0
_POLL_INTERVAL_S = 1.0
_MAX_SUBMIT_ATTEMPTS = 5
_RETRY_PAUSE_S = 0.5
_MAX_JOBS_PER_CANCELLATION = 50
_FINAL_STATES = frozenset({JobState.DONE, JobState.PARKED, JobState.CANCELLED})


class JobDriver:
    """Submits jobs of one service and tracks the states they reach."""

    def __init__(
        self,
        service: str,
        rotation: EntryRotation,
        caller: HttpCaller,
        token: str,
    ) -> None:
        """Create a driver without jobs.

        :param service: batch service
        :param rotation: selects the entry of each call
        :param caller: sends the calls
        :param token: token with the role caller
        """
        self._service = service
        self._rotation = rotation
        self._caller = caller
        self._headers = {"Authorization": f"Bearer {token}"}
        self._run_id = token_hex(4)
        self._states: dict[str, JobState] = {}
        self._failures: Counter[str] = Counter()
        self._done_reported_at: dict[str, float] = {}

    @property
    def done_reported_at(self) -> dict[str, float]:
        """Return when an entry first reported each job as done.

        Times are seconds of the monotonic clock, by job id.
        """
        return dict(self._done_reported_at)

    @property
    def accepted_count(self) -> int:
        """Return the number of accepted jobs."""
        return len(self._states)

    @property
    def states(self) -> dict[str, JobState]:
        """Return the last known state of each accepted job."""
        return dict(self._states)

    @property
    def failures(self) -> dict[str, int]:
        """Return the number of submissions not accepted, by reason."""
        return dict(self._failures)

    @property
    def open_jobs(self) -> tuple[str, ...]:
        """Return accepted jobs that are not known to have ended."""
        return tuple(
            job
            for job, state in self._states.items()
            if state not in _FINAL_STATES
        )

    async def submit(self, count: int, pause_s: float, run_s: float) -> None:
        """Submit jobs one after another.

        :param count: number of jobs
        :param pause_s: pause after each job
        :param run_s: declared run time of each job
        """
        for number in range(count):
            await self._submit_one(number, run_s)
            await asyncio.sleep(pause_s)

    async def wait(self, timeout_s: float) -> bool:
        """Wait until all accepted jobs have ended.

        :param timeout_s: longest time to wait
        :returns: whether all jobs have ended
        """
        until = monotonic() + timeout_s
        while self.open_jobs and monotonic() < until:
            for job in self.open_jobs:
                await self._refresh(job)
            await asyncio.sleep(_POLL_INTERVAL_S if self.open_jobs else 0)
        return not self.open_jobs

    async def refresh(self) -> None:
        """Query the state of each open job once."""
        for job in self.open_jobs:
            await self._refresh(job)

    async def cancel(self, jobs: Sequence[str]) -> int:
        """Cancel jobs concurrently, at most 50 of them.

        :param jobs: ids of accepted jobs
        :returns: number of cancellations that an entry accepted
        """
        accepted = await asyncio.gather(
            *(self._cancel(job) for job in jobs[:_MAX_JOBS_PER_CANCELLATION])
        )
        return sum(accepted)

    async def _cancel(self, job: str) -> bool:
        for entry in self._rotation.next_urls():
            result = await self._caller.delete(
                f"{entry}/v1/jobs/{job}", self._headers, _CALL_TIMEOUT_S
            )
            return isinstance(result, Ok) and result.ok_value.status == 202
        return False

    async def _submit_one(self, number: int, run_s: float) -> None:
        # With the same key, a repeated submission finds the row of the first.
        headers = {
            **self._headers,
            "Idempotency-Key": f"{self._service}-{self._run_id}-{number}",
        }
        content = {"input": {"number": number}, "run_s": run_s}
        body = json.dumps(content).encode()
        for _ in range(_MAX_SUBMIT_ATTEMPTS):
            for entry in self._rotation.next_urls():
                url = f"{entry}/v1/services/{self._service}/jobs"
                result = await self._caller.post(
                    url, headers, body, _CALL_TIMEOUT_S
                )
                if isinstance(result, Ok) and result.ok_value.status == 202:
                    self._record_state(result.ok_value.json())
                    return
                if isinstance(result, Ok):
                    self._failures[f"status {result.ok_value.status}"] += 1
                else:
                    self._failures[str(result.err_value)] += 1
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _refresh(self, job: str) -> None:
        for entry in self._rotation.next_urls():
            url = f"{entry}/v1/jobs/{job}"
            result = await self._caller.get(
                url, self._headers, _CALL_TIMEOUT_S
            )
            if isinstance(result, Ok) and result.ok_value.status == 200:
                self._record_state(result.ok_value.json())

    def _record_state(self, content: dict[str, Any]) -> None:
        job, state = content["id"], JobState(content["state"])
        self._states[job] = state
        if state is JobState.DONE:
            self._done_reported_at.setdefault(job, monotonic())
