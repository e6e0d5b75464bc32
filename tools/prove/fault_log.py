"""Record of the faults injected in a run."""

from __future__ import annotations

from collections import Counter
from math import inf
from typing import TYPE_CHECKING

from tools.prove.fault_record import FaultRecord

if TYPE_CHECKING:
    from collections.abc import Collection

    from tools.prove.fault import Fault


class FaultLog:
    """Tells which entries and workers were affected by faults when.

    A name is that of an entry, a worker or the platform. Times are seconds of
    the monotonic clock.
    """

    def __init__(self) -> None:
        """Create an empty log."""
        self._records: list[FaultRecord] = []

    @property
    def counts_by_kind(self) -> dict[str, int]:
        """Return the number of injected faults by kind."""
        return dict(
            Counter(str(record.fault.kind) for record in self._records)
        )

    def record_start(self, fault: Fault, now: float) -> FaultRecord:
        """Record the start of a fault."""
        record = FaultRecord(fault, now)
        self._records.append(record)
        return record

    def is_affected(self, name: str) -> bool:
        """Tell whether an active fault affects a name."""
        return any(
            name in record.fault.affected_names
            for record in self._records
            if record.ended_at is None
        )

    def is_affected_between(
        self,
        start: float,
        end: float,
        names: Collection[str],
        excluded: FaultRecord | None = None,
    ) -> bool:
        """Tell whether a fault affected one of the names in an interval.

        :param start: start of the interval
        :param end: end of the interval
        :param names: names that are looked for
        :param excluded: a fault to ignore
        """
        return any(
            record.started_at <= end and record.end_or_infinity >= start
            for record in self._records_affecting(names, excluded)
        )

    def fault_free_interval_end(
        self,
        after: float,
        duration_s: float,
        names: Collection[str],
        excluded: FaultRecord | None = None,
    ) -> float:
        """Return the end of the first interval without a relevant fault.

        :param after: earliest start of the interval
        :param duration_s: length of the interval in seconds
        :param names: names that no fault affects in it
        :param excluded: a fault to ignore
        :returns: infinity while such a fault lasts
        """
        start = after
        affecting = self._records_affecting(names, excluded)
        for record in sorted(affecting, key=lambda record: record.started_at):
            if record.started_at > start + duration_s:
                break
            start = max(start, record.end_or_infinity)
        return inf if start == inf else start + duration_s

    def format_history(self, at: float, duration_s: float) -> list[str]:
        """Return a line for each fault active in the time before.

        :param at: end of that time
        :param duration_s: its length in seconds
        """
        return [
            record.format_line(at)
            for record in self._records
            if record.started_at <= at
            and record.end_or_infinity >= at - duration_s
        ]

    def _records_affecting(
        self, names: Collection[str], excluded: FaultRecord | None
    ) -> list[FaultRecord]:
        return [
            record
            for record in self._records
            if record is not excluded
            and not record.fault.affected_names.isdisjoint(names)
        ]
