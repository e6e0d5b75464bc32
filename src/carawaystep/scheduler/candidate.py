"""Leader election: a process's attempts to become the leader."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import msgspec
from result import Err
from result import Ok

from carawaystep.leadership.election import Election
from carawaystep.leadership.leader_record import LeaderRecord
from carawaystep.leadership.leadership import LEADER_LEASE_S
from carawaystep.scheduler import tables
from carawaystep.store.operation import PutRow
from carawaystep.store.table_failure import TableConflict
from carawaystep.validation.boundary_decoder import BoundaryDecoder

if TYPE_CHECKING:
    from carawaystep.leadership.leadership import Leadership
    from carawaystep.scheduler.ports import SchedulerPorts
    from carawaystep.scheduler.store_health import StoreHealth
    from carawaystep.store.row import Row

_LEADER_DECODER = BoundaryDecoder[LeaderRecord](LeaderRecord)
# Time that a newly elected leader needs to reach the members.
_ANNOUNCE_GRACE_S = 0.8
# Store calls that a new leader makes before it sends its first heartbeat.
_STORE_CALLS_BEFORE_HEARTBEAT = 5


class Candidate:
    """Reads the leader row and claims it by compare-and-set."""

    def __init__(
        self,
        record: LeaderRecord,
        ports: SchedulerPorts,
        leadership: Leadership,
        store_health: StoreHealth,
    ) -> None:
        """Create a candidate that has not read the leader row.

        :param record: name, incarnation and address of this process
        :param ports: clock, store and log
        :param leadership: what this process knows about the leader
        :param store_health: records the answers and failures of the store
        """
        self._record = record
        self._ports = ports
        self._leadership = leadership
        self._store_health = store_health
        # 0 without a leader row, -1 before the first read and after a failed
        # one.
        self._version = -1
        self._version_seen_at = 0.0
        self._read_duration_s = 0.0
        # First answered read after the last failed one, 0 if none has failed.
        self._readable_since = 0.0
        self._last_term = 0

    async def read_leader_row(self) -> Row | None:
        """Read the leader row and record when its version last changed.

        :returns: the row, None if there is none or the store did not answer
        """
        began_at = self._ports.clock.now()
        read = await self._ports.store.get(tables.CONTROL, tables.LEADER_KEY)
        now = self._ports.clock.now()
        self._read_duration_s = now - began_at
        if isinstance(read, Err):
            self._store_health.record_failure(read.err_value.detail, now)
            self._version = -1
            self._readable_since = inf
            return None
        self._store_health.record_answer(now)
        self._readable_since = min(self._readable_since, now)
        row = read.ok_value
        version = 0 if row is None else row.version
        if version != self._version:
            self._version = version
            self._version_seen_at = now
        return row

    async def campaign(self) -> Election | None:
        """Try to claim the leader row.

        :returns: the won election; None if the current leader must be given
            more time, another process was faster or the store did not answer
        """
        row = await self.read_leader_row()
        if self._version < 0:
            return None
        own_record = None if row is None else self._own_record(row)
        if own_record is not None and self._version > self._last_term:
            # The last attempt was applied but its answer was lost. A term
            # that this process already led is never resumed, because orders
            # of that term may still be in flight.
            return self._record_election(self._version, own_record)
        if self._in_grace_period(row):
            return None
        record = self._new_record(row)
        value = msgspec.to_builtins(record)
        written = await self._ports.store.transact(
            [PutRow(tables.CONTROL, tables.LEADER_KEY, self._version, value)]
        )
        if isinstance(written, Ok):
            return self._record_election(written.ok_value.revision, record)
        if not isinstance(written.err_value, TableConflict):
            now = self._ports.clock.now()
            self._store_health.record_failure(written.err_value.detail, now)
        return None

    def _record_election(self, term: int, record: LeaderRecord) -> Election:
        now = self._ports.clock.now()
        self._last_term = term
        self._ports.log.line(
            "leader.elected",
            self._record.name,
            term=term,
            earlier=self._leadership.term,
            reason=self._leadership.campaign_reason(now) or "",
            confirmation_age_s=self._leadership.confirmation_age_s,
            row_readable_s=now - self._readable_since,
        )
        return Election(
            term, record.predecessors, record.predecessors_need_majority
        )

    def _own_record(self, row: Row) -> LeaderRecord | None:
        """Return the record in the row if this process wrote it."""
        leader = self._parse_leader(row)
        if leader is None or leader.incarnation != self._record.incarnation:
            return None
        return leader

    def _new_record(self, row: Row | None) -> LeaderRecord:
        """Return the record with which this process claims the row.

        The leader in the row confirms its term until then. Those before it
        lost the row at its election, which was before this process followed
        it.

        :param row: the leader row as it is before this process claims it
        """
        replace = msgspec.structs.replace
        if row is None:
            return replace(self._record, predecessors_need_majority=True)
        leader = self._parse_leader(row)
        if leader is None:
            return replace(self._record, predecessors={"": LEADER_LEASE_S})
        earlier = self._earlier_leases_s(leader)
        need_majority = leader.needs_majority and (
            leader.predecessors_need_majority or not earlier
        )
        return replace(
            self._record,
            predecessors={**earlier, leader.address: LEADER_LEASE_S},
            predecessors_need_majority=need_majority,
        )

    def _earlier_leases_s(self, leader: LeaderRecord) -> dict[str, float]:
        """Return how long the leases of a leader's predecessors last.

        :returns: seconds from now by address
        """
        elapsed_s = self._leadership.seconds_followed(
            self._version, self._ports.clock.now()
        )
        return {
            address: lease_s - elapsed_s
            for address, lease_s in leader.predecessors.items()
            if lease_s > elapsed_s
        }

    @staticmethod
    def _parse_leader(row: Row) -> LeaderRecord | None:
        """Return the leader named in the row, None if it is malformed."""
        return _LEADER_DECODER.convert(row.value).ok()

    def _in_grace_period(self, row: Row | None) -> bool:
        """Tell whether the leader in the row must be given more time.

        Without a grace period, candidates would depose each new leader
        before its first heartbeat.
        """
        now = self._ports.clock.now()
        if row is None:
            return False
        if self._version == self._leadership.term:
            # A heartbeat may have arrived during the read. If this process
            # was partitioned itself, heartbeats arrive again shortly after
            # the store answers again; and if the leader row was away for
            # all, the leader confirms its term once the row is back. Other
            # tables may have answered all the while.
            available_s = min(
                self._store_health.seconds_available(now),
                now - self._readable_since,
            )
            return (
                not self._leadership.should_campaign(now)
                or available_s < _ANNOUNCE_GRACE_S
            )
        leader = self._parse_leader(row)
        if leader is None or leader.name == self._record.name:
            # An earlier process of this node no longer runs.
            return False
        grace_s = (
            _ANNOUNCE_GRACE_S
            + _STORE_CALLS_BEFORE_HEARTBEAT * self._read_duration_s
        )
        return now - self._version_seen_at < grace_s
