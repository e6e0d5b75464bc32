"""Requests and jobs of one run."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING

from tools.load_plan import LoadPlan
from tools.service_load import ServiceLoad

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Sequence
    from typing import Any

    from tools.call_record import CallRecord
    from tools.entry_rotation import EntryRotation
    from tools.example_service import ExampleService
    from tools.http_caller import HttpCaller
    from tools.job_driver import JobDriver

_JOBS_END_TIMEOUT_S = 120.0
_CALLERS_PER_IDEMPOTENT_SERVICE = 10
_CALLERS_PER_NON_IDEMPOTENT_SERVICE = 6
_CALL_PAUSE_S = 0.15
_RESEND_AFTER_S = 1.0
_JOB_SUBMIT_PAUSE_S = 0.6
_JOB_RUN_S = 3.0
_JOB_POLL_INTERVAL_S = 2.0
_MAX_REQUESTS_PER_SERVICE = 50_000


class RunLoad:
    """Sends requests to and submits jobs of all services."""

    def __init__(
        self,
        services: Sequence[ExampleService],
        seconds: float,
        rotation: EntryRotation,
        caller: HttpCaller,
        token: str,
    ) -> None:
        """Create a load; nothing is sent yet.

        :param services: services to use
        :param seconds: duration of the load
        :param rotation: entries to send to
        :param caller: sends the calls
        :param token: token of a caller
        """
        self._seconds = seconds
        self._load = ServiceLoad(
            services, self._load_plan, rotation, caller, token
        )

    @property
    def drivers(self) -> list[JobDriver]:
        """Return the submitters of jobs."""
        return self._load.drivers

    @property
    def calls(self) -> list[CallRecord]:
        """Return all requests with their outcomes."""
        return self._load.calls

    @property
    def job_counts(self) -> Counter[str]:
        """Return the number of jobs by last known state."""
        return Counter(
            str(state)
            for driver in self._load.drivers
            for state in driver.states.values()
        )

    async def run_beside(self, injection: Coroutine[Any, Any, None]) -> None:
        """Send the load; return when it and the faults are over.

        :param injection: injects the faults
        """
        async with asyncio.TaskGroup() as group:
            polling = [
                group.create_task(_poll_job_states(driver))
                for driver in self._load.drivers
            ]
            loading = [
                group.create_task(generator.run())
                for generator in self._load.generators
            ]
            loading += [
                group.create_task(self._submit_jobs(driver))
                for driver in self._load.drivers
            ]
            loading.append(group.create_task(injection))
            await asyncio.wait(loading)
            for task in polling:
                task.cancel()

    async def wait_for_jobs(self, min_wait_s: float) -> None:
        """Wait for the end of all jobs, for a limited time.

        :param min_wait_s: time to wait in any case, seconds
        """
        await asyncio.gather(
            asyncio.sleep(min_wait_s),
            *(
                driver.wait(_JOBS_END_TIMEOUT_S)
                for driver in self._load.drivers
            ),
        )

    def _load_plan(self, service: ExampleService) -> LoadPlan:
        caller_count = _CALLERS_PER_NON_IDEMPOTENT_SERVICE
        if service.idempotent:
            caller_count = _CALLERS_PER_IDEMPOTENT_SERVICE
        return LoadPlan(
            caller_count,
            _CALL_PAUSE_S,
            self._seconds,
            _MAX_REQUESTS_PER_SERVICE,
            resend_after_s=_RESEND_AFTER_S,
        )

    async def _submit_jobs(self, driver: JobDriver) -> None:
        # Submissions take longer in an outage, so their number does not limit
        # the time.
        with suppress(TimeoutError):
            async with asyncio.timeout(self._seconds):
                await driver.submit(
                    int(self._seconds / _JOB_SUBMIT_PAUSE_S),
                    _JOB_SUBMIT_PAUSE_S,
                    _JOB_RUN_S,
                )


async def _poll_job_states(driver: JobDriver) -> None:
    while True:
        await driver.refresh()
        await asyncio.sleep(_JOB_POLL_INTERVAL_S)
