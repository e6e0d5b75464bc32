"""Servers of all stand-in workers of one process."""

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
    """Serve all configured stand-in workers until the stop event is set.

    :param settings: workers with their addresses, and services
    :param stop: event that ends the servers
    """
    workers = _create_workers(settings)
    applications = [WorkerApplication(worker) for worker in workers]
    servers = [
        WorkerServer(
            application.create_asgi_app(),
            worker_settings.http.host,
            worker_settings.http.port,
            worker,
        )
        for worker_settings, worker, application in zip(
            settings.workers, workers, applications, strict=True
        )
    ]
    try:
        for server in servers:
            await server.start()
        async with asyncio.TaskGroup() as group:
            timer_tasks = [
                group.create_task(application.run_task_timer())
                for application in applications
            ]
            await stop.wait()
            for task in timer_tasks:
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
            worker_settings,
            RunTimeModel(
                settings.services,
                Random(f"{settings.seed}/{worker_settings.name}"),
            ),
        )
        for worker_settings in settings.workers
    ]
