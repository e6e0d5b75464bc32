"""Measures scenarios, a few of them concurrently."""

from __future__ import annotations

import asyncio
import sys
from time import monotonic
from typing import TYPE_CHECKING

from tools.capacity.measured_entry import MeasuredEntry
from tools.capacity.sample import Sample
from tools.run_directory import open_run_directory

if TYPE_CHECKING:
    from collections.abc import Sequence

    import psutil

    from tools.capacity.scenario import Scenario

# Reports, leases and polls become periodic only some time after the start.
_SETTLING_TIME_S = 6.0
# A process may not be ready in time on a busy machine.
_MAX_ATTEMPTS = 3
_MEGABYTE_BYTES = 1_000_000


class Sampler:
    """Measures scenarios, each with its own processes."""

    def __init__(self, window_s: float, max_concurrent: int) -> None:
        """Create a sampler.

        :param window_s: length of the time window of each sample
        :param max_concurrent: greatest number of concurrent measurements
        """
        self._window_s = window_s
        self._semaphore = asyncio.Semaphore(max_concurrent)

    async def measure_all(self, scenarios: Sequence[Scenario]) -> list[Sample]:
        """Measure scenarios and return the samples in the same order."""
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._sample_with_retries(scenario))
                for scenario in scenarios
            ]
        return [task.result() for task in tasks]

    async def _sample_with_retries(self, scenario: Scenario) -> Sample:
        async with self._semaphore:
            for _ in range(_MAX_ATTEMPTS - 1):
                try:
                    return await self._sample_once(scenario)
                except RuntimeError as error:
                    print(
                        f"retrying {scenario} after: {error}", file=sys.stderr
                    )
            return await self._sample_once(scenario)

    async def _sample_once(self, scenario: Scenario) -> Sample:
        with open_run_directory(None) as directory:
            entry = MeasuredEntry(scenario, directory)
            try:
                await entry.start()
                await asyncio.sleep(_SETTLING_TIME_S)
                sample = await self._measure(scenario, entry)
            finally:
                await entry.stop()
        print(sample, file=sys.stderr)
        return sample

    async def _measure(
        self, scenario: Scenario, entry: MeasuredEntry
    ) -> Sample:
        process = entry.process
        start_traffic = entry.counter.snapshot()
        start, start_cpu_s = monotonic(), _cpu_s(process)
        await asyncio.sleep(self._window_s)
        elapsed_s = monotonic() - start
        return Sample(
            scenario,
            round(elapsed_s, 3),
            round(entry.start_cpu_s, 2),
            round((_cpu_s(process) - start_cpu_s) / elapsed_s, 5),
            round(process.memory_info().rss / _MEGABYTE_BYTES, 2),
            entry.counter.rates_since(start_traffic, elapsed_s),
        )


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
