"""Coroutine of a simulated process that can be paused."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.scheduler.simulation.simulated_process import SimulatedProcess


class PausableCoroutine(Coroutine[Any, Any, Any]):
    """Resumes a coroutine only while its process runs.

    What wakes it up during a pause, also a timeout, takes effect after it.
    """

    def __init__(
        self, coroutine: Coroutine[Any, Any, Any], process: SimulatedProcess
    ) -> None:
        """Wrap a coroutine that has not begun.

        :param coroutine: coroutine of the process
        :param process: the process
        """
        self._coroutine = coroutine
        self._process = process
        self._pause: Coroutine[Any, Any, None] | None = None
        self._error: BaseException | None = None

    def __await__(self) -> Any:
        """Return an iterator of the coroutine."""
        return self._coroutine.__await__()

    def send(self, value: Any) -> Any:
        """Resume the coroutine, or wait until its process is resumed."""
        if self._pause is None and self._process.paused:
            self._pause = self._process.wait_until_resumed()
        if self._pause is not None:
            try:
                return self._pause.send(None)
            except StopIteration:
                self._pause = None
        error, self._error = self._error, None
        if error is not None:
            return self._coroutine.throw(error)
        return self._coroutine.send(value)

    def throw(self, *error: Any) -> Any:
        """Raise an error in the coroutine, after a pause if there is one."""
        if not self._process.paused and self._pause is None:
            return self._coroutine.throw(*error)
        self._error = error[0]
        if self._pause is not None:
            self._pause.close()
        self._pause = None
        return self.send(None)

    def close(self) -> None:
        """Close the coroutine."""
        self._coroutine.close()
