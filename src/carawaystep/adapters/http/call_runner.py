"""Calls to the service that outlive their connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar

from result import Err
from result import Ok

from carawaystep.adapters.http.http_error import HttpError

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from result import Result

    from carawaystep.adapters.http.internal_error_reporter import (
        InternalErrorReporter,
    )

T = TypeVar("T")


class CallRunner:
    """Runs each call in a task of its own.

    A caller that hangs up, or a connection task that is cancelled, ends the
    wait but not the call, because the service must still settle it.
    """

    def __init__(self, faults: InternalErrorReporter) -> None:
        """Create a runner without calls.

        :param faults: told of unexpected exceptions
        """
        self._faults = faults
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def running(self) -> int:
        """Return the number of calls that have not ended."""
        return len(self._tasks)

    async def run(
        self, call: Coroutine[Any, Any, T], limit_s: float
    ) -> Result[T, HttpError]:
        """Start a call and wait for its end.

        :param call: a coroutine of the service
        :param limit_s: longest wait; the call itself goes on
        """
        task = asyncio.create_task(self._watched(call))
        self._tasks.add(task)
        done, _ = await asyncio.wait({task}, timeout=limit_s)
        if done:
            return task.result()
        return Err(
            HttpError(
                504,
                "unknown",
                "the call took too long and may still take effect; look"
                " whether it did before you repeat it",
            )
        )

    async def _watched(
        self, call: Coroutine[Any, Any, T]
    ) -> Result[T, HttpError]:
        try:
            return Ok(await call)
        except Exception as error:
            return Err(self._faults.report(error))
        finally:
            task = asyncio.current_task()
            if task is not None:
                self._tasks.discard(task)
