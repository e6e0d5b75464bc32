"""The workers that a configuration is checked against."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.worker_pool import WorkerPool

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.configuration_check.fleet_worker import FleetWorker

_ALL_SERVICES = ""


class Fleet:
    """Workers by service."""

    def __init__(self, workers: Iterable[FleetWorker]) -> None:
        """Sort the workers by service."""
        self._by_service: dict[str, list[FleetWorker]] = {}
        for worker in workers:
            self._by_service.setdefault(worker.service, []).append(worker)
        self._pools: dict[str, WorkerPool] = {}

    def pool(self, service: str) -> WorkerPool:
        """Return the workers that run tasks of a service."""
        if service not in self._pools:
            shared = self._by_service.get(_ALL_SERVICES, [])
            own = self._by_service.get(service, []) if service else []
            self._pools[service] = WorkerPool([*own, *shared])
        return self._pools[service]
