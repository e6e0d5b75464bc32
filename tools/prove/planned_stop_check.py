"""Planned stops cut off no request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.prove.topology import PLATFORM

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tools.call_record import CallRecord
    from tools.prove.fault_log import FaultLog
    from tools.prove.fault_record import FaultRecord
    from tools.prove.planned_stop import PlannedStop
    from tools.prove.topology import Topology
    from tools.prove.violation_log import ViolationLog

_EXIT_CUT_OFF = 75


class PlannedStopCheck:
    """Compares planned stops with what callers of the entry saw."""

    def __init__(
        self, topology: Topology, faults: FaultLog, log: ViolationLog
    ) -> None:
        """Create a check without stops.

        :param topology: workers of each availability zone
        :param faults: faults of the run
        :param log: takes the results
        """
        self._topology = topology
        self._faults = faults
        self._log = log
        self._stops: list[tuple[PlannedStop, FaultRecord]] = []

    def stopped(self, stop: PlannedStop, record: FaultRecord) -> None:
        """Take a stop and check its exit code.

        Faults of the platform or of workers can keep work in flight beyond
        the drain limit, which the entry reports with its own exit code.
        """
        self._stops.append((stop, record))
        allowed = {0}
        if self._disturbed(stop, record):
            allowed.add(_EXIT_CUT_OFF)
        self._log.check(
            stop.exit_code in allowed,
            f"entry {stop.entry} ended with exit code {stop.exit_code}"
            f" {stop.ended_at - stop.begun_at:.1f} s after SIGTERM",
            stop.ended_at,
        )

    def judge(self, calls: Sequence[CallRecord]) -> None:
        """Check the calls that were in flight during a stop."""
        for stop, record in self._stops:
            if stop.exit_code != 0 and self._disturbed(stop, record):
                continue
            broken = [
                call
                for call in calls
                if call.entry == stop.url
                and call.status is None
                and call.started_at <= stop.ended_at
                and call.started_at + call.latency_s >= stop.begun_at
            ]
            times = [
                f"{call.started_at - stop.begun_at:+.2f}"
                f"..{call.started_at + call.latency_s - stop.begun_at:+.2f} s"
                for call in broken[:5]
            ]
            self._log.check(
                not broken,
                f"{len(broken)} calls of entry {stop.entry} broke off during"
                f" its planned stop, at {', '.join(times)} after SIGTERM; it"
                f" ended at {stop.ended_at - stop.begun_at:+.2f} s",
                stop.begun_at,
            )

    def _disturbed(self, stop: PlannedStop, record: FaultRecord) -> bool:
        zone = self._topology.zone_of(stop.entry)
        names = (PLATFORM, stop.entry, *self._topology.workers[zone])
        # A task that froze just before still holds its slot for a while.
        return self._faults.overlaps(
            stop.begun_at - 1.0, stop.ended_at, names, without=record
        )
