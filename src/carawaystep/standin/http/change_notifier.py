"""Notification of all tasks that wait for a change."""

from __future__ import annotations

import asyncio
import contextlib
import math


class ChangeNotifier:
    """Broadcast event that resets itself.

    A task that starts to wait after a change waits for the next one.
    """

    def __init__(self) -> None:
        """Create a notifier without waiting tasks."""
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that are waiting now."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_until(self, deadline: float) -> None:
        """Wait for the next change or until a deadline.

        :param deadline: time of the event loop in seconds; infinity for no
            deadline
        """
        limit = None if deadline == math.inf else deadline
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(limit):
                await self._changed.wait()
