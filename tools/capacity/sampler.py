"""Takes samples of entry processes, a few at once."""

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

# After the start, reports, leases and polls settle into their intervals.
_SETTLE_S = 6.0
# A port can be taken by another process before its owner binds it.
_ATTEMPTS = 3
_MEGABYTE_BYTES = 1_000_000


class Sampler:
    """Measures scenarios, each with processes of its own."""

    def __init__(self, window_s: float, max_concurrent: int) -> None:
        """Create a sampler.

        :param window_s: length of each window
        :param max_concurrent: scenarios measured at the same time
        """
        self._window_s = window_s
        self._room = asyncio.Semaphore(max_concurrent)

    async def measure_all(self, scenarios: Sequence[Scenario]) -> list[Sample]:
        """Measure scenarios and return the samples in the same order."""
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._sample(scenario))
                for scenario in scenarios
            ]
        return [task.result() for task in tasks]

    async def _sample(self, scenario: Scenario) -> Sample:
        async with self._room:
            for _ in range(_ATTEMPTS - 1):
                try:
                    return await self._sample_once(scenario)
                except RuntimeError as error:
                    print(f"{scenario} is repeated: {error}", file=sys.stderr)
            return await self._sample_once(scenario)

    async def _sample_once(self, scenario: Scenario) -> Sample:
        with open_run_directory(None) as directory:
            entry = MeasuredEntry(scenario, directory)
            try:
                await entry.start()
                await asyncio.sleep(_SETTLE_S)
                sample = await self._measure(scenario, entry)
            finally:
                await entry.stop()
        print(sample, file=sys.stderr)
        return sample

    async def _measure(
        self, scenario: Scenario, entry: MeasuredEntry
    ) -> Sample:
        process = entry.process
        before = entry.counter.snapshot()
        began, began_cpu_s = monotonic(), _cpu_s(process)
        await asyncio.sleep(self._window_s)
        took_s = monotonic() - began
        return Sample(
            scenario,
            round(took_s, 3),
            round(entry.start_cpu_s, 2),
            round((_cpu_s(process) - began_cpu_s) / took_s, 5),
            round(process.memory_info().rss / _MEGABYTE_BYTES, 2),
            entry.counter.rates_since(before, took_s),
        )


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)
