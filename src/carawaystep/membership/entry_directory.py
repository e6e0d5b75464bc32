"""What one entry process knows about all others."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.membership.entry_record import EntryRecord

# Three heartbeat intervals, so that one lost heartbeat is not a death and an
# entry that dies has its workers owned again within 10 s.
DEAD_AFTER_S = 6.0

# Rows of other availability zones are read less often; nobody takes over
# workers there, so a late verdict does no harm.
FAR_DEAD_AFTER_S = 20.0


@dataclass(slots=True)
class _Sighting:
    record: EntryRecord
    changed_at: float
    heard_at: float | None = None


class EntryDirectory:
    """Liveness of entries, judged by changes that this process saw.

    No clocks are compared: an entry is dead when its row did not change for
    ``DEAD_AFTER_S`` of this process's monotonic clock while the platform
    answered, and no peer heartbeat came in that time.
    """

    def __init__(self, own_name: str, own_zone: str) -> None:
        """Create an empty directory.

        :param own_name: name of this process's entry, always alive
        :param own_zone: its availability zone
        """
        self._own_name = own_name
        self._own_zone = own_zone
        self._sightings: dict[str, _Sighting] = {}
        self._observed_since: float | None = None
        self._platform_seen_at: float | None = None

    @property
    def records(self) -> tuple[EntryRecord, ...]:
        """Return the last record of every entry, dead ones too."""
        return tuple(seen.record for seen in self._sightings.values())

    def observe(self, record: EntryRecord, now: float) -> bool:
        """Take a row from the platform.

        :returns: True when the entry is new or has restarted
        """
        seen = self._sightings.get(record.name)
        if seen is not None and seen.record.incarnation == record.incarnation:
            if seen.record.beat >= record.beat:
                return False
            seen.record = record
            seen.changed_at = now
            return False
        self._sightings[record.name] = _Sighting(record, now)
        return True

    def forget(self, name: str) -> None:
        """Drop an entry whose row was deleted after a planned stop."""
        self._sightings.pop(name, None)

    def hear(self, name: str, incarnation: str, now: float) -> None:
        """Take a heartbeat that came over a peer link."""
        seen = self._sightings.get(name)
        if seen is not None and seen.record.incarnation == incarnation:
            seen.heard_at = now

    def platform_answered(self, now: float) -> None:
        """Record that the platform's list of entries was read."""
        gap = self._platform_seen_at
        if gap is None or now - gap > DEAD_AFTER_S:
            self._observed_since = now
        self._platform_seen_at = now

    def alive(self, name: str, now: float) -> bool:
        """Tell whether an entry counts as alive.

        While the platform does not answer, and for ``DEAD_AFTER_S`` after it
        answers again, nobody is declared dead for a row that did not change.
        """
        if name == self._own_name:
            return True
        seen = self._sightings.get(name)
        if seen is None:
            return False
        limit_s = self._limit_s(seen.record)
        if seen.heard_at is not None and now - seen.heard_at < limit_s:
            return True
        if now - seen.changed_at < limit_s:
            return True
        return not self._observed_long_enough(now)

    def candidates(self, availability_zone: str, now: float) -> list[str]:
        """Return the entries that may own workers of an availability zone.

        :param availability_zone: its name
        :param now: present time, seconds of a monotonic clock
        """
        return sorted(
            seen.record.name
            for seen in self._sightings.values()
            if seen.record.availability_zone == availability_zone
            and not seen.record.draining
            and self.alive(seen.record.name, now)
        )

    def availability_zones(self, now: float) -> list[str]:
        """Return the availability zones that have a live entry."""
        return sorted(
            {
                seen.record.availability_zone
                for seen in self._sightings.values()
                if self.alive(seen.record.name, now)
            }
        )

    def find(self, name: str) -> EntryRecord | None:
        """Return the last record of an entry."""
        seen = self._sightings.get(name)
        return None if seen is None else seen.record

    def _limit_s(self, record: EntryRecord) -> float:
        if record.availability_zone == self._own_zone:
            return DEAD_AFTER_S
        return FAR_DEAD_AFTER_S

    def _observed_long_enough(self, now: float) -> bool:
        if self._observed_since is None or self._platform_seen_at is None:
            return False
        if now - self._platform_seen_at > DEAD_AFTER_S:
            return False
        return now - self._observed_since >= DEAD_AFTER_S
