"""Process of a stand-in whose settings exceed the size of a settings file.

The command line refuses files over 262,144 bytes, which a list of 3,200 VMs
exceeds.
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
    for number in (SIGTERM, SIGINT):
        loop.add_signal_handler(number, stop.set)
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
