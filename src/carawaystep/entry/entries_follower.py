"""Follows the table of heartbeat rows of entry processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from carawaystep.entry.table_follower import TableFollower
from carawaystep.membership.entry_row import EntryRow

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawaystep.entry.entry_state import EntryState
    from carawaystep.store.row import Row

ENTRIES_TABLE = "entries"


def entry_key(availability_zone: str, name: str) -> str:
    """Return the key of an entry's row, prefixed by its availability zone."""
    return f"{availability_zone}/{name}"


class EntriesFollower(TableFollower):
    """Updates the entry directory from one or all availability zones.

    Every heartbeat changes a row, so reading all rows each second would cost
    17 KB/s at 135 entries. Only the rows of this entry's availability zone
    are read that often.
    """

    def __init__(self, state: EntryState, own_zone_only: bool) -> None:
        """Create a follower of the table ``entries``.

        :param state: shared state of the entry process
        :param own_zone_only: True for frequent reads of this entry's
            availability zone, False for less frequent reads of all
        """
        super().__init__(state, ENTRIES_TABLE)
        self._own_zone_only = own_zone_only

    @property
    def poll_interval_s(self) -> float:
        """Return the interval between two reads in seconds."""
        settings = self._state.settings.platform
        return settings.poll_s if self._own_zone_only else settings.far_poll_s

    def prefixes(self) -> Sequence[str]:
        """Return the prefix of this availability zone, or none for all."""
        if not self._own_zone_only:
            return ()
        return (f"{self._state.settings.availability_zone}/",)

    def apply(self, row: Row, now: float) -> None:
        """Apply a heartbeat, or the deletion of a row after a drain."""
        directory = self._state.directory
        if row.value is None:
            directory.remove(row.key.rpartition("/")[2])
            return
        parsed = EntryRow.parse(row.value)
        if not isinstance(parsed, Ok):
            self._state.counters.count("rows_rejected")
            return
        record = parsed.ok_value
        if directory.observe(record, now):
            self._state.record_event(
                "entry.seen", record.name, incarnation=record.incarnation
            )

    def on_page_applied(self, revision: int, now: float) -> None:
        """Record that the entries of this availability zone were read."""
        if self._own_zone_only:
            self._state.directory.record_platform_read(now)
