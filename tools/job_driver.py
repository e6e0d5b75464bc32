"""Submits batch jobs and waits for their end."""

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

_CALL_LIMIT_S = 5.0
_POLL_S = 1.0
_MAX_SENDS = 5
_RETRY_PAUSE_S = 0.5
_MAX_JOBS_PER_CANCELLATION = 50
_ENDED = frozenset({JobState.DONE, JobState.PARKED, JobState.CANCELLED})


class JobDriver:
    """Knows the jobs that entries accepted and their last known states."""

    def __init__(
        self,
        service: str,
        rotation: EntryRotation,
        caller: HttpCaller,
        token: str,
    ) -> None:
        """Create a driver without jobs.

        :param service: batch service
        :param rotation: entries in turn
        :param caller: sends the calls
        :param token: token with the role caller
        """
        self._service = service
        self._rotation = rotation
        self._caller = caller
        self._headers = {"Authorization": f"Bearer {token}"}
        self._run = token_hex(4)
        self._states: dict[str, JobState] = {}
        self._failures: Counter[str] = Counter()
        self._done_reported_at: dict[str, float] = {}

    @property
    def done_reported_at(self) -> dict[str, float]:
        """Return when each job was first told to be done.

        Times are seconds of the monotonic clock.
        """
        return dict(self._done_reported_at)

    @property
    def accepted(self) -> int:
        """Return the number of accepted jobs."""
        return len(self._states)

    @property
    def states(self) -> dict[str, JobState]:
        """Return the last known state of each accepted job."""
        return dict(self._states)

    @property
    def failures(self) -> dict[str, int]:
        """Return submissions that were not accepted, by their reason."""
        return dict(self._failures)

    @property
    def open_jobs(self) -> tuple[str, ...]:
        """Return accepted jobs that are not known to have ended."""
        return tuple(
            job for job, state in self._states.items() if state not in _ENDED
        )

    async def submit(self, count: int, pause_s: float, run_s: float) -> None:
        """Submit jobs one after the other.

        :param count: number of jobs
        :param pause_s: pause after each
        :param run_s: declared run time of each
        """
        for number in range(count):
            await self._submit_one(number, run_s)
            await asyncio.sleep(pause_s)

    async def wait(self, limit_s: float) -> bool:
        """Wait until all accepted jobs have ended.

        :param limit_s: how long to wait
        :returns: whether they have ended
        """
        until = monotonic() + limit_s
        while self.open_jobs and monotonic() < until:
            for job in self.open_jobs:
                await self._refresh(job)
            await asyncio.sleep(_POLL_S if self.open_jobs else 0)
        return not self.open_jobs

    async def refresh(self) -> None:
        """Ask once for the state of each open job."""
        for job in self.open_jobs:
            await self._refresh(job)

    async def cancel(self, jobs: Sequence[str]) -> int:
        """Cancel jobs at the same time.

        :param jobs: ids of accepted jobs
        :returns: number of cancellations that an entry accepted
        """
        sent = await asyncio.gather(
            *(self._cancel(job) for job in jobs[:_MAX_JOBS_PER_CANCELLATION])
        )
        return sum(sent)

    async def _cancel(self, job: str) -> bool:
        for entry in self._rotation.next_urls():
            sent = await self._caller.delete(
                f"{entry}/v1/jobs/{job}", self._headers, _CALL_LIMIT_S
            )
            return isinstance(sent, Ok) and sent.ok_value.status == 202
        return False

    async def _submit_one(self, number: int, run_s: float) -> None:
        # The key makes a repeated submission find the first one's row.
        headers = {
            **self._headers,
            "Idempotency-Key": f"{self._service}-{self._run}-{number}",
        }
        content = {"input": {"number": number}, "run_s": run_s}
        body = json.dumps(content).encode()
        for _ in range(_MAX_SENDS):
            for entry in self._rotation.next_urls():
                url = f"{entry}/v1/services/{self._service}/jobs"
                sent = await self._caller.post(
                    url, headers, body, _CALL_LIMIT_S
                )
                if isinstance(sent, Ok) and sent.ok_value.status == 202:
                    self._note(sent.ok_value.json())
                    return
                if isinstance(sent, Ok):
                    self._failures[f"status {sent.ok_value.status}"] += 1
                else:
                    self._failures[str(sent.err_value)] += 1
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _refresh(self, job: str) -> None:
        for entry in self._rotation.next_urls():
            url = f"{entry}/v1/jobs/{job}"
            sent = await self._caller.get(url, self._headers, _CALL_LIMIT_S)
            if isinstance(sent, Ok) and sent.ok_value.status == 200:
                self._note(sent.ok_value.json())

    def _note(self, content: dict[str, Any]) -> None:
        job, state = content["id"], JobState(content["state"])
        self._states[job] = state
        if state is JobState.DONE:
            self._done_reported_at.setdefault(job, monotonic())
