"""Execution of service calls independent of their connections."""

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
    """Runs each call in a separate task.

    When the caller disconnects or its connection task is cancelled, only the
    wait ends. The call goes on, because the service must still record its
    outcome.
    """

    def __init__(self, error_reporter: InternalErrorReporter) -> None:
        """Create a runner without calls.

        :param error_reporter: logs unexpected exceptions
        """
        self._error_reporter = error_reporter
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def running_calls(self) -> int:
        """Return the number of calls in progress."""
        return len(self._tasks)

    async def run(
        self, call: Coroutine[Any, Any, T], timeout_s: float
    ) -> Result[T, HttpError]:
        """Start a call and wait for its result.

        :param call: coroutine of the service
        :param timeout_s: maximum wait in seconds; the call itself goes on
        :returns: the result, an error with status 504 when the wait ended
            first, or one with status 500 when the call raised an exception
        """
        task = asyncio.create_task(self._run_and_report_errors(call))
        self._tasks.add(task)
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        if done:
            return task.result()
        return Err(
            HttpError(
                504,
                "unknown",
                "the call took too long and may still take effect; check"
                " whether it did before you repeat it",
            )
        )

    async def _run_and_report_errors(
        self, call: Coroutine[Any, Any, T]
    ) -> Result[T, HttpError]:
        try:
            return Ok(await call)
        except Exception as error:
            return Err(self._error_reporter.report(error))
        finally:
            task = asyncio.current_task()
            if task is not None:
                self._tasks.discard(task)
