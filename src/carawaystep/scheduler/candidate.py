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
# Calls to the store between its election and its first sign of life.
_CALLS_TO_SETTLE = 5


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
        self._read_s = 0.0
        self._last_term = 0

    async def observe(self) -> Row | None:
        """Read the row and note since when it has been as it is."""
        began_at = self._ports.clock.now()
        read = await self._ports.table.get(tables.CONTROL, tables.LEADER_KEY)
        now = self._ports.clock.now()
        self._read_s = now - began_at
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
        if self._version < 0:
            return None
        if (
            row is not None
            and self._present(row) == self._record
            and self._version > self._last_term
        ):
            # The answer to the last attempt was lost after it was applied. A
            # term that this process has led is not led again, because orders
            # of it may still be on their way.
            return self._elected(self._version)
        if self._may_still_come(row):
            return None
        value = msgspec.to_builtins(self._record)
        written = await self._ports.table.transact(
            [PutRow(tables.CONTROL, tables.LEADER_KEY, self._version, value)]
        )
        if isinstance(written, Ok):
            return self._elected(written.ok_value.revision)
        if not isinstance(written.err_value, TableConflict):
            now = self._ports.clock.now()
            self._pulse.failed(written.err_value.detail, now)
        return None

    def _elected(self, term: int) -> int:
        self._last_term = term
        self._ports.log.line(
            "leader.elected",
            self._record.name,
            term=term,
            earlier=self._leadership.term,
        )
        return term

    @staticmethod
    def _present(row: Row) -> LeaderRecord | None:
        """Return who leads by the row, None when it cannot be read."""
        try:
            return msgspec.convert(row.value, LeaderRecord)
        except msgspec.ValidationError:
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
        present = self._present(row)
        if present is None or present.name == self._record.name:
            return False
        settle_s = _SETTLE_S + _CALLS_TO_SETTLE * self._read_s
        return now - self._seen_at < settle_s
