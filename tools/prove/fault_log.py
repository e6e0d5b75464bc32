"""History of the faults of a run."""

from __future__ import annotations

from collections import Counter
from math import inf
from typing import TYPE_CHECKING

from tools.prove.fault_record import FaultRecord

if TYPE_CHECKING:
    from collections.abc import Collection

    from tools.prove.fault import Fault


class FaultLog:
    """Tells which faults disturbed whom at which time."""

    def __init__(self) -> None:
        """Create an empty log."""
        self._records: list[FaultRecord] = []

    @property
    def counts(self) -> dict[str, int]:
        """Return the number of faults of each kind."""
        return dict(Counter(str(one.fault.kind) for one in self._records))

    def begin(self, fault: Fault, now: float) -> FaultRecord:
        """Record the start of a fault."""
        record = FaultRecord(fault, now)
        self._records.append(record)
        return record

    def active(self, name: str) -> bool:
        """Tell whether a fault now disturbs a name."""
        return any(
            name in one.fault.touches
            for one in self._records
            if one.ended_at is None
        )

    def overlaps(
        self,
        start: float,
        end: float,
        names: Collection[str],
        without: FaultRecord | None = None,
    ) -> bool:
        """Tell whether a fault disturbed one of the names in an interval."""
        return any(
            one.begun_at <= end and one.ended_or_never >= start
            for one in self._touching(names, without)
        )

    def quiet_end(
        self,
        after: float,
        length_s: float,
        names: Collection[str],
        without: FaultRecord | None = None,
    ) -> float:
        """Return the end of the first interval without a disturbance.

        :param after: the interval does not start before
        :param length_s: its length
        :param names: none of these is disturbed in it
        :param without: a fault that is left out
        :returns: infinity while a fault lasts
        """
        start = after
        touching = self._touching(names, without)
        for one in sorted(touching, key=lambda record: record.begun_at):
            if one.begun_at > start + length_s:
                break
            start = max(start, one.ended_or_never)
        return inf if start == inf else start + length_s

    def history(self, at: float, length_s: float) -> list[str]:
        """Return one line for each fault of the time before."""
        return [
            one.line(at)
            for one in self._records
            if one.begun_at <= at and one.ended_or_never >= at - length_s
        ]

    def _touching(
        self, names: Collection[str], without: FaultRecord | None
    ) -> list[FaultRecord]:
        return [
            one
            for one in self._records
            if one is not without and not one.fault.touches.isdisjoint(names)
        ]
