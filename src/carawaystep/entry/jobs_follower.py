"""Follows the jobs of the shards that an availability zone serves."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.entry.table_follower import TableFollower
from carawaystep.job.job_id import SHARDS
from carawaystep.job.job_row import JobRow
from carawaystep.membership.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawaystep.entry.entry_state import EntryState
    from carawaystep.store.row import Row

TABLE = "jobs"


class JobsFollower(TableFollower):
    """Feeds the job board.

    The shards follow the availability zones that have live entries. When one
    is lost, its shards are read from the beginning.
    """

    def __init__(self, state: EntryState) -> None:
        """Create a follower of the table ``jobs``."""
        super().__init__(state, TABLE)
        self._shards: tuple[str, ...] = ()

    def prefixes(self) -> Sequence[str]:
        """Return the shards of the own availability zone."""
        shards = self._zone_shards()
        if shards == self._shards:
            return shards
        if set(shards) - set(self._shards):
            self._since = 0
        self._shards = shards
        self._state.jobs.retain(shards, self._state.workers)
        return shards

    def apply(self, row: Row, now: float) -> None:
        """Take one job."""
        if row.value is None:
            self._state.jobs.remove(row.key, row.version)
            return
        parsed = JobRow.parse(row.key, row.value, row.version)
        if not isinstance(parsed, Ok):
            self._state.counters.count("rows_rejected")
            return
        if self._state.jobs.apply(parsed.ok_value, now):
            self._state.jobs_changed.set()

    def own_shards(self) -> list[str]:
        """Return the shards that this process claims first."""
        state = self._state
        names = state.directory.active_entries(
            state.settings.availability_zone, state.now
        )
        own = state.settings.name
        return list(_shards_of(own, frozenset(names), self._shards))

    def _zone_shards(self) -> tuple[str, ...]:
        state = self._state
        own = state.settings.availability_zone
        zones = frozenset(state.directory.availability_zones(state.now))
        return _shards_of(own, zones | {own}, SHARDS)


# Ranking 256 shards over 15 availability zones takes 8.5 ms, and the follower
# needs them each second.
@lru_cache(maxsize=8)
def _shards_of(
    member: str, members: frozenset[str], shards: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the shards for which a member is ranked first."""
    return tuple(
        shard
        for shard in shards
        if members and ranked(shard, members)[0] == member
    )
