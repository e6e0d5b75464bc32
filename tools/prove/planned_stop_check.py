"""Checks that planned stops of entries abort no request."""

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

_EXIT_DRAIN_INCOMPLETE = 75


class PlannedStopCheck:
    """Checks exit codes of planned stops and the calls during them."""

    def __init__(
        self, topology: Topology, faults: FaultLog, violations: ViolationLog
    ) -> None:
        """Create a check without stops.

        :param topology: workers of each availability zone
        :param faults: faults injected in the run
        :param violations: records the result of each check
        """
        self._topology = topology
        self._faults = faults
        self._violations = violations
        self._stops: list[tuple[PlannedStop, FaultRecord]] = []

    def record_stop(self, stop: PlannedStop, record: FaultRecord) -> None:
        """Record a stop and check its exit code.

        Faults of the platform or of workers can keep work in flight beyond
        the drain limit; the entry then ends with exit code 75.

        :param stop: what was observed
        :param record: the fault that stopped the entry
        """
        self._stops.append((stop, record))
        allowed = {0}
        if self._was_affected(stop, record):
            allowed.add(_EXIT_DRAIN_INCOMPLETE)
        self._violations.record_check(
            stop.exit_code in allowed,
            f"entry {stop.entry} ended with exit code {stop.exit_code}"
            f" {stop.ended_at - stop.sigterm_at:.1f} s after SIGTERM",
            stop.ended_at,
        )

    def check_calls(self, calls: Sequence[CallRecord]) -> None:
        """Check that calls in flight during a stop got a response."""
        for stop, record in self._stops:
            if stop.exit_code != 0 and self._was_affected(stop, record):
                continue
            broken = [
                call
                for call in calls
                if call.entry == stop.url
                and call.status is None
                and call.started_at <= stop.ended_at
                and call.started_at + call.latency_s >= stop.sigterm_at
            ]
            intervals = [
                f"{call.started_at - stop.sigterm_at:+.2f}.."
                f"{call.started_at + call.latency_s - stop.sigterm_at:+.2f} s"
                for call in broken[:5]
            ]
            self._violations.record_check(
                not broken,
                f"{len(broken)} calls of entry {stop.entry} got no response"
                " during its planned stop, at"
                f" {', '.join(intervals)} after SIGTERM; it ended at"
                f" {stop.ended_at - stop.sigterm_at:+.2f} s",
                stop.sigterm_at,
            )

    def _was_affected(self, stop: PlannedStop, record: FaultRecord) -> bool:
        zone = self._topology.zone_of(stop.entry)
        names = (PLATFORM, stop.entry, *self._topology.workers[zone])
        # A task frozen shortly before the stop holds its slot a little longer.
        return self._faults.is_affected_between(
            stop.sigterm_at - 1.0, stop.ended_at, names, excluded=record
        )
