"""Creates the tasks of a simulation."""

from __future__ import annotations

from itertools import count
from typing import Any
from typing import TYPE_CHECKING

from tests.scheduler.simulation.pausable_coroutine import PausableCoroutine
from tests.scheduler.simulation.simulated_process import SimulatedProcess
from tests.scheduler.simulation.simulated_task import SimulatedTask

if TYPE_CHECKING:
    import asyncio
    from contextvars import Context


class TaskFactory:
    """Task factory of an event loop.

    A task that is created in the context of a process belongs to it.
    """

    def __init__(self) -> None:
        """Create a factory that has created no task."""
        self._numbers = count(1)

    def __call__(
        self,
        loop: asyncio.AbstractEventLoop,
        coroutine: Any,
        *,
        name: str | None = None,
        context: Context | None = None,
    ) -> SimulatedTask:
        """Create a task."""
        process = SimulatedProcess.of_context(context)
        if process is not None:
            coroutine = PausableCoroutine(coroutine, process)
        return SimulatedTask(
            next(self._numbers),
            coroutine,
            loop=loop,
            name=name,
            context=context,
        )
