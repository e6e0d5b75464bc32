"""Log lines about services of which all availability zones are evacuated."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.planner.decision_log import DecisionLog

_CHECK_INTERVAL_S = 0.5


class EvacuationMonitor:
    """Writes a line when a service has no zone left that accepts work.

    Its work waits until a zone is returned, for which a second line is
    written.
    """

    def __init__(
        self, evacuated_zones: EvacuatedZones, log: DecisionLog
    ) -> None:
        """Create a monitor that knows of no such service.

        :param evacuated_zones: the evacuated availability zones
        :param log: receives the lines
        """
        self._evacuated_zones = evacuated_zones
        self._log = log
        self._checked_at: float | None = None
        self._evacuated_services: set[str] = set()

    def check(self, workers: Iterable[TrackedWorker], now: float) -> None:
        """Look for such services, at most once in an interval.

        :param workers: all workers, also those that accept no work
        :param now: current time, seconds of a monotonic clock
        """
        due = (
            self._checked_at is None
            or now - self._checked_at >= _CHECK_INTERVAL_S
        )
        if not due or not self._evacuated_zones.known:
            return
        self._checked_at = now
        zones_by_service: dict[str, set[str]] = {}
        for worker in workers:
            if worker.listed:
                record = worker.record
                zones = zones_by_service.setdefault(record.service, set())
                zones.add(record.availability_zone)
        evacuated = {
            service
            for service, zones in zones_by_service.items()
            if zones <= self._evacuated_zones.names
        }
        # The end of a service's workers returns no zone.
        evacuated |= self._evacuated_services - zones_by_service.keys()
        self._log_changes(evacuated, zones_by_service, now)
        self._evacuated_services = evacuated

    def _log_changes(
        self,
        evacuated: set[str],
        zones_by_service: dict[str, set[str]],
        now: float,
    ) -> None:
        version = self._evacuated_zones.revision
        for service in sorted(evacuated - self._evacuated_services):
            self._log.line(
                "service.evacuated",
                service,
                zones=" ".join(sorted(zones_by_service[service])),
                version=version,
                age_s=self._evacuated_zones.age_s(now),
            )
        for service in sorted(self._evacuated_services - evacuated):
            self._log.line("service.returned", service, version=version)
