"""Decorators that run coroutine tests in an event loop."""

from __future__ import annotations

import asyncio
from functools import wraps
from typing import Any
from typing import TYPE_CHECKING

import looptime

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    AsyncTest = Callable[[Any], Coroutine[Any, Any, None]]
    SyncTest = Callable[[Any], None]


def now() -> float:
    """Return the time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()


def real_time(test: AsyncTest) -> SyncTest:
    """Run a test in an ordinary event loop."""

    @wraps(test)
    def run(self: Any) -> None:
        asyncio.run(test(self))

    return run


def virtual_time(test: AsyncTest) -> SyncTest:
    """Run a test in an event loop that skips all waiting times."""

    @wraps(test)
    def run(self: Any) -> None:
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(test(self))

    return run
