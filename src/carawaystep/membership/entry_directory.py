"""Liveness of entries, as seen by one entry process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.membership.entry_record import EntryRecord

# Three heartbeat intervals: a single lost heartbeat does not make an entry
# dead, and the workers of a dead entry have a new owner within 10 s.
DEAD_AFTER_S = 6.0

# Rows of other availability zones are read less often. Their workers are not
# taken over from here, so that detecting a dead entry late does no harm.
REMOTE_DEAD_AFTER_S = 20.0


@dataclass(slots=True)
class _EntryStatus:
    record: EntryRecord
    row_changed_at: float
    heartbeat_at: float | None = None


class EntryDirectory:
    """Known entries and a failure detector for them.

    Clocks of different processes are never compared. An entry is dead if,
    for ``DEAD_AFTER_S`` of this process's monotonic clock, its row did not
    change although the platform answered, and no peer heartbeat arrived. The
    limit is ``REMOTE_DEAD_AFTER_S`` for other availability zones.
    """

    def __init__(self, own_name: str, own_zone: str) -> None:
        """Create an empty directory.

        :param own_name: name of this process's entry, which is always alive
        :param own_zone: name of its availability zone
        """
        self._own_name = own_name
        self._own_zone = own_zone
        self._statuses: dict[str, _EntryStatus] = {}
        self._platform_readable_since: float | None = None
        self._platform_read_at: float | None = None

    @property
    def records(self) -> tuple[EntryRecord, ...]:
        """Return the latest record of every entry, dead ones included."""
        return tuple(status.record for status in self._statuses.values())

    def observe(self, record: EntryRecord, now: float) -> bool:
        """Apply a heartbeat row that was read from the platform.

        :param record: content of the row
        :param now: current monotonic time in seconds
        :returns: True if the entry is new or has restarted
        """
        status = self._statuses.get(record.name)
        if (
            status is not None
            and status.record.incarnation == record.incarnation
        ):
            if status.record.beat >= record.beat:
                return False
            status.record = record
            status.row_changed_at = now
            return False
        self._statuses[record.name] = _EntryStatus(record, now)
        return True

    def remove(self, name: str) -> None:
        """Remove an entry whose row was deleted after a planned stop."""
        self._statuses.pop(name, None)

    def record_heartbeat(
        self, name: str, incarnation: str, now: float
    ) -> None:
        """Record a heartbeat that arrived over a peer link.

        :param name: name of the entry
        :param incarnation: id of its process; others are ignored
        :param now: current monotonic time in seconds
        """
        status = self._statuses.get(name)
        if status is not None and status.record.incarnation == incarnation:
            status.heartbeat_at = now

    def record_platform_read(self, now: float) -> None:
        """Record that the rows of this availability zone were read.

        Without recent reads no entry of any zone is declared dead.

        :param now: current monotonic time in seconds
        """
        last_read_at = self._platform_read_at
        if last_read_at is None or now - last_read_at > DEAD_AFTER_S:
            self._platform_readable_since = now
        self._platform_read_at = now

    def is_alive(self, name: str, now: float) -> bool:
        """Return whether an entry counts as alive.

        While the platform does not answer, and for ``DEAD_AFTER_S`` after it
        answers again, no known entry is declared dead, because its row may
        have changed unseen.

        :param name: name of the entry
        :param now: current monotonic time in seconds
        """
        if name == self._own_name:
            return True
        status = self._statuses.get(name)
        if status is None:
            return False
        timeout_s = self._timeout_s(status.record)
        if (
            status.heartbeat_at is not None
            and now - status.heartbeat_at < timeout_s
        ):
            return True
        if now - status.row_changed_at < timeout_s:
            return True
        return not self._may_declare_dead(now)

    def active_entry_names(
        self, availability_zone: str, now: float
    ) -> list[str]:
        """Return the sorted names of live entries that are not draining.

        Only these may become owners of workers.

        :param availability_zone: name of their availability zone
        :param now: current monotonic time in seconds
        """
        return sorted(
            status.record.name
            for status in self._statuses.values()
            if status.record.availability_zone == availability_zone
            and not status.record.draining
            and self.is_alive(status.record.name, now)
        )

    def availability_zones(self, now: float) -> list[str]:
        """Return the names of availability zones that have a live entry."""
        return sorted(
            {
                status.record.availability_zone
                for status in self._statuses.values()
                if self.is_alive(status.record.name, now)
            }
        )

    def find(self, name: str) -> EntryRecord | None:
        """Return the latest record of an entry, None if it is unknown."""
        status = self._statuses.get(name)
        return None if status is None else status.record

    def _timeout_s(self, record: EntryRecord) -> float:
        if record.availability_zone == self._own_zone:
            return DEAD_AFTER_S
        return REMOTE_DEAD_AFTER_S

    def _may_declare_dead(self, now: float) -> bool:
        if (
            self._platform_readable_since is None
            or self._platform_read_at is None
        ):
            return False
        if now - self._platform_read_at > DEAD_AFTER_S:
            return False
        return now - self._platform_readable_since >= DEAD_AFTER_S
