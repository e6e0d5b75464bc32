"""Running a tool so that signals stop it in order."""

from __future__ import annotations

import asyncio
from signal import SIGINT
from signal import SIGTERM
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine

# Exit code of a tool that a signal ended.
EXIT_INTERRUPTED = 130


def run_interruptible(work: Coroutine[None, None, int]) -> int:
    """Run a coroutine that SIGTERM and SIGINT cancel.

    :param work: returns the exit code
    """
    return asyncio.run(_run(work))


async def _run(work: Coroutine[None, None, int]) -> int:
    task = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    for number in (SIGTERM, SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return EXIT_INTERRUPTED
