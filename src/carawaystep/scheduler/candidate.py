"""Attempts of a process to become the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err
from result import Ok

from carawaystep.leadership.leader_record import LeaderRecord
from carawaystep.scheduler import tables
from carawaystep.store.operation import PutRow
from carawaystep.store.table_failure import TableConflict

if TYPE_CHECKING:
    from carawaystep.leadership.leadership import Leadership
    from carawaystep.scheduler.ports import SchedulerPorts
    from carawaystep.scheduler.store_pulse import StorePulse
    from carawaystep.store.row import Row

# A leader that was elected just now needs this long to reach the members.
_SETTLE_S = 0.8


class Candidate:
    """Reads the leader's row and takes it by a compare-and-set."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        ports: SchedulerPorts,
        leadership: Leadership,
        pulse: StorePulse,
    ) -> None:
        """Create a candidate that has not seen the row.

        :param name: name of this process's node
        :param incarnation: id of this process
        """
        self._record = LeaderRecord(name, incarnation)
        self._ports = ports
        self._leadership = leadership
        self._pulse = pulse
        self._version = -1
        self._seen_at = 0.0

    async def observe(self) -> Row | None:
        """Read the row and note since when it has been as it is."""
        read = await self._ports.table.get(tables.CONTROL, tables.LEADER_KEY)
        now = self._ports.clock.now()
        if isinstance(read, Err):
            self._pulse.failed(read.err_value.detail, now)
            self._version = -1
            return None
        self._pulse.answered(now)
        row = read.ok_value
        version = 0 if row is None else row.version
        if version != self._version:
            self._version = version
            self._seen_at = now
        return row

    async def challenge(self) -> int | None:
        """Try to take the row.

        :returns: the term, None when another process was faster or the
            store did not answer
        """
        row = await self.observe()
        if self._version < 0 or self._may_still_come(row):
            return None
        value = msgspec.to_builtins(self._record)
        written = await self._ports.table.transact(
            [PutRow(tables.CONTROL, tables.LEADER_KEY, self._version, value)]
        )
        if isinstance(written, Ok):
            term = written.ok_value.revision
            self._ports.log.line(
                "leader.elected",
                self._record.name,
                term=term,
                earlier=self._version,
            )
            return term
        if not isinstance(written.err_value, TableConflict):
            now = self._ports.clock.now()
            self._pulse.failed(written.err_value.detail, now)
        return None

    def _may_still_come(self, row: Row | None) -> bool:
        """Tell whether the row names a leader that is about to show itself.

        Taking its row at first sight would depose each new leader in turn.
        """
        now = self._ports.clock.now()
        if row is None:
            return False
        if self._version == self._leadership.term:
            # The leader may have been heard while the row was read, and
            # after a cut of its own this process hears it again.
            return (
                not self._leadership.should_challenge(now)
                or self._pulse.steady_s(now) < _SETTLE_S
            )
        try:
            present = msgspec.convert(row.value, LeaderRecord)
        except msgspec.ValidationError:
            return False
        if present.name == self._record.name:
            return False
        return now - self._seen_at < _SETTLE_S
