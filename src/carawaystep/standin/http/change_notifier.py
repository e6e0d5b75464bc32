"""Wakes the tasks that wait for a change."""

from __future__ import annotations

import asyncio
import contextlib
import math


class Signal:
    """Wakes every waiting task at each change."""

    def __init__(self) -> None:
        """Create a signal."""
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that wait now."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_until(self, deadline: float) -> None:
        """Wait for the next change.

        :param deadline: time of the loop at which to return without one;
            infinity for none
        """
        limit = None if deadline == math.inf else deadline
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(limit):
                await self._changed.wait()
