"""Task of a simulation."""

from __future__ import annotations

import asyncio
from typing import Any


class SimulatedTask(asyncio.Task[Any]):
    """Has its number as its hash value.

    The order in which a set of tasks is iterated, such as that in which a
    task group cancels its tasks, is then the same in each run.
    """

    def __init__(self, number: int, coroutine: Any, **options: Any) -> None:
        """Create a task.

        :param number: number of the task in the run
        :param coroutine: what it runs
        :param options: as those of :class:`asyncio.Task`
        """
        self._number = number
        super().__init__(coroutine, **options)

    def __hash__(self) -> int:
        """Return the number."""
        return self._number

    def __eq__(self, other: object) -> bool:
        """Tell whether it is the same task."""
        return self is other
