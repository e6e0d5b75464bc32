"""One process of a simulated node."""

from __future__ import annotations

import asyncio
from contextvars import ContextVar
from contextvars import copy_context
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from contextvars import Context

Value = TypeVar("Value")

_CURRENT: ContextVar[SimulatedProcess | None] = ContextVar(
    "process", default=None
)


class SimulatedProcess:
    """Can be paused, like a process after SIGSTOP, and killed.

    The tasks that are created in its context belong to the process. While it
    is paused, none of them runs (:class:`PausableCoroutine`).
    """

    def __init__(self, node: str, number: int) -> None:
        """Create a process that runs.

        :param node: name of the node, the same after a restart
        :param number: number of the process on its node
        """
        self.node = node
        self.name = f"{node}#{number}"
        self.alive = True
        self._resumed: asyncio.Event | None = None

    @staticmethod
    def of_context(context: Context | None) -> SimulatedProcess | None:
        """Return the process of a context, by default the present one."""
        return _CURRENT.get() if context is None else context.get(_CURRENT)

    @property
    def paused(self) -> bool:
        """Tell whether the process is paused."""
        return self._resumed is not None

    def run_inside(self, work: Callable[[], object]) -> None:
        """Call a function whose tasks belong to the process."""
        self._context().run(work)

    def create_task(
        self, work: Coroutine[None, None, Value]
    ) -> asyncio.Task[Value]:
        """Return a new task that belongs to the process."""
        return asyncio.create_task(work, context=self._context())

    def pause(self) -> None:
        """Pause the process."""
        if self._resumed is None:
            self._resumed = asyncio.Event()

    def resume(self) -> None:
        """Resume the process."""
        resumed, self._resumed = self._resumed, None
        if resumed is not None:
            resumed.set()

    def _context(self) -> Context:
        context = copy_context()
        context.run(_CURRENT.set, self)
        return context

    async def wait_until_resumed(self) -> None:
        """Wait while the process is paused."""
        while self._resumed is not None:
            await self._resumed.wait()
