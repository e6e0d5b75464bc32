"""Process that hosts stand-in workers."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from carawaystep.standin.worker.application import WorkerApplication
from carawaystep.standin.worker.run_time_model import RunTimeModel
from carawaystep.standin.worker.standin_worker import StandinWorker
from carawaystep.standin.worker.worker_server import WorkerServer

if TYPE_CHECKING:
    from carawaystep.settings.standin_worker_settings import (
        StandinWorkerProcessSettings,
    )

_STOP_GRACE_S = 1.0


async def serve(
    settings: StandinWorkerProcessSettings, stop: asyncio.Event
) -> None:
    """Serve all stand-in workers of the settings until they are stopped.

    :param settings: workers, their addresses and their services
    :param stop: set to end
    """
    workers = _create_workers(settings)
    applications = [WorkerApplication(worker) for worker in workers]
    servers = [
        WorkerServer(
            application.asgi(), part.http.host, part.http.port, worker
        )
        for part, worker, application in zip(
            settings.workers, workers, applications, strict=True
        )
    ]
    try:
        for server in servers:
            await server.start()
        async with asyncio.TaskGroup() as group:
            ending = [
                group.create_task(application.end_tasks())
                for application in applications
            ]
            await stop.wait()
            for task in ending:
                task.cancel()
    finally:
        await asyncio.gather(
            *(server.stop(_STOP_GRACE_S) for server in servers)
        )


def _create_workers(
    settings: StandinWorkerProcessSettings,
) -> list[StandinWorker]:
    return [
        StandinWorker(
            part,
            RunTimeModel(
                settings.services, Random(f"{settings.seed}/{part.name}")
            ),
        )
        for part in settings.workers
    ]
