"""Gradual return of work to an availability zone after its evacuation."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_key import WorkerKey

# Waiting work gets all workers of the zone within this time. Shorter than the
# 3 s within which a task has to start on a worker that has room for it.
RAMP_S = 2.0


class ZoneRamp:
    """Opens the workers of a returned zone one after another.

    Those that stay slow for longest after their start come last, so that
    work that waits does not all begin on cold workers.
    """

    def __init__(self, evacuated_zones: EvacuatedZones) -> None:
        """Create a ramp.

        :param evacuated_zones: knows when zones were returned
        """
        self._evacuated_zones = evacuated_zones

    def open_workers(
        self, workers: list[TrackedWorker], now: float
    ) -> list[TrackedWorker]:
        """Return the workers that are open, in the given order.

        At least one worker of each service and zone is.

        :param workers: workers that accept work
        :param now: current time, seconds of a monotonic clock
        """
        returned_at = self._evacuated_zones.returned_since(now - RAMP_S)
        if not returned_at:
            return workers
        groups: dict[tuple[str, str], list[TrackedWorker]] = {}
        for worker in workers:
            zone = worker.record.availability_zone
            if zone in returned_at:
                group = (zone, worker.record.service)
                groups.setdefault(group, []).append(worker)
        closed: set[WorkerKey] = set()
        for (zone, _), group_workers in groups.items():
            share = (now - returned_at[zone]) / RAMP_S
            closed |= _closed_keys(group_workers, share)
        return [worker for worker in workers if worker.key not in closed]


def _closed_keys(
    workers: Iterable[TrackedWorker], share: float
) -> set[WorkerKey]:
    """Return the keys of the workers that are not open yet.

    :param share: share of the workers that is open
    """
    ordered = sorted(
        workers, key=lambda worker: (worker.record.cold_s, worker.key.id)
    )
    open_count = max(1, ceil(share * len(ordered)))
    return {worker.key for worker in ordered[open_count:]}
