"""Runs and restarts the background tasks of a process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from carawaystep.errors.broken_invariant import BrokenInvariant

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from carawaystep.entry.counters import Counters

_RESTART_DELAY_S = 1.0


class Supervisor:
    """Restarts failed background tasks of a process.

    Only a broken invariant stops the process.
    """

    def __init__(self, counters: Counters) -> None:
        """Create a supervisor without tasks.

        :param counters: counts failures of background tasks in
            ``tasks_failed``, which also counts failed attempts of jobs
        """
        self._counters = counters
        self._tasks: set[asyncio.Task[None]] = set()
        self._broken_invariant: asyncio.Future[BrokenInvariant] | None = None

    @property
    def has_broken_invariant(self) -> bool:
        """Return whether a broken invariant was reported."""
        return (
            self._broken_invariant is not None
            and self._broken_invariant.done()
        )

    def report_broken_invariant(
        self, broken_invariant: BrokenInvariant
    ) -> None:
        """Make the process stop because of a broken invariant."""
        future = self._broken_invariant_future()
        if not future.done():
            future.set_result(broken_invariant)

    async def broken_invariant(self) -> BrokenInvariant:
        """Wait until a broken invariant is reported and return it."""
        return await asyncio.shield(self._broken_invariant_future())

    def spawn(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> asyncio.Task[None]:
        """Run work in a new task.

        :param name: name of the task in logs
        :param work: function that is called again after an unexpected error
        """
        task = asyncio.create_task(self._run(name, work), name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _broken_invariant_future(self) -> asyncio.Future[BrokenInvariant]:
        if self._broken_invariant is None:
            self._broken_invariant = asyncio.get_running_loop().create_future()
        return self._broken_invariant

    async def _run(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await work()
            except BrokenInvariant as exc:
                self.report_broken_invariant(exc)
                return
            except Exception:
                self._counters.count("tasks_failed")
                logging.exception(
                    "Background task %s failed; restarting it", name
                )
                await asyncio.sleep(_RESTART_DELAY_S)
            else:
                return
