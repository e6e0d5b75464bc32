"""Follows the owner rows of this entry's availability zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from carawaystep.entry.table_follower import TableFollower
from carawaystep.membership.owner_row import OwnerRow
from carawaystep.membership.owner_row import OWNERS_TABLE

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawaystep.entry.entry_state import EntryState
    from carawaystep.store.row import Row


class OwnersFollower(TableFollower):
    """Keeps the highest known version of each worker's owner row."""

    def __init__(self, state: EntryState) -> None:
        """Create a follower of the table ``owners``."""
        super().__init__(state, OWNERS_TABLE)

    def prefixes(self) -> Sequence[str]:
        """Return the key prefix of this entry's availability zone."""
        return (f"{self._state.settings.availability_zone}/",)

    def apply(self, row: Row, now: float) -> None:
        """Apply an owner row.

        If it names another process, the ownership of this process is revoked.
        """
        name = row.key.rpartition("/")[2]
        current = self._state.owners.get(name)
        if current is not None and current.version >= row.version:
            return
        parsed = OwnerRow.parse(name, row.value, row.version)
        if not isinstance(parsed, Ok):
            self._state.counters.count("rows_rejected")
            return
        ownership = parsed.ok_value
        self._state.owners[name] = ownership
        worker = self._state.workers.get(name)
        if worker is None:
            return
        if ownership.incarnation != self._state.incarnation:
            worker.guard.revoke()
