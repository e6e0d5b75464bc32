"""Follows the jobs of the shards that an availability zone serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from carawaystep.entry.table_follower import TableFollower
from carawaystep.job.job_id import SHARDS
from carawaystep.job.job_row import JobRow
from carawaystep.membership.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawaystep.entry.entry_state import EntryState
    from carawaystep.platform.row import Row

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
        self._zones: frozenset[str] = frozenset()
        self._names: tuple[tuple[str, ...], list[str]] = ((), [])

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
        names = state.directory.candidates(
            state.settings.availability_zone, state.now
        )
        key = (*names, "", *self._shards)
        if key != self._names[0]:
            own = state.settings.name
            shards = [
                shard
                for shard in self._shards
                if names and ranked(shard, names)[0] == own
            ]
            self._names = (key, shards)
        return self._names[1]

    def _zone_shards(self) -> tuple[str, ...]:
        state = self._state
        own = state.settings.availability_zone
        zones = frozenset(
            {own, *state.directory.availability_zones(state.now)}
        )
        if zones == self._zones:
            return self._shards
        self._zones = zones
        return tuple(
            shard for shard in SHARDS if ranked(shard, zones)[0] == own
        )
