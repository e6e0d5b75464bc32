"""Runs a stand-in with a settings file of any size.

The command line rejects settings files over 262,144 bytes, and a list of 3,200
VMs is longer.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from signal import SIGINT
from signal import SIGTERM
import sys

from carawaystep.settings.standin_platform_settings import (
    StandinPlatformSettings,
)
from carawaystep.settings.standin_worker_settings import (
    StandinWorkerProcessSettings,
)
from carawaystep.standin.platform.server import serve as serve_platform
from carawaystep.standin.worker.server import serve as serve_workers


async def _serve(kind: str, content: str) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    if kind == "platform":
        await serve_platform(
            StandinPlatformSettings.model_validate_json(content), stop
        )
    else:
        await serve_workers(
            StandinWorkerProcessSettings.model_validate_json(content), stop
        )


if __name__ == "__main__":
    asyncio.run(_serve(sys.argv[1], Path(sys.argv[2]).read_text()))
