"""Runs a tool so that signals cancel it."""

from __future__ import annotations

import asyncio
from signal import SIGINT
from signal import SIGTERM
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine

# 128 + SIGINT, as shells report it; SIGTERM gives the same code.
EXIT_INTERRUPTED = 130


def run_interruptible(work: Coroutine[None, None, int]) -> int:
    """Run a coroutine; SIGTERM and SIGINT cancel it.

    :param work: coroutine that returns the exit code
    :returns: its exit code, 130 when a signal cancelled it
    """
    return asyncio.run(_run(work))


async def _run(work: Coroutine[None, None, int]) -> int:
    task = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    for signal_number in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal_number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return EXIT_INTERRUPTED
