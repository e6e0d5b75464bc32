"""Repository of the sets of voters on which leaders count."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from result import Ok

from carawaystep.leadership.voter import Voter
from carawaystep.scheduler import tables
from carawaystep.scheduler.term_transactions import TermTransactions
from carawaystep.store.operation import PutRow
from carawaystep.validation.boundary_decoder import BoundaryDecoder

if TYPE_CHECKING:
    from collections.abc import Sequence

    from carawaystep.leadership.voter import VoterSet
    from carawaystep.scheduler.ports import SchedulerPorts
    from carawaystep.scheduler.store_health import StoreHealth

_RETRY_INTERVAL_S = 0.1


class VotersRecord(msgspec.Struct, frozen=True):
    """Stored sets of voters.

    :param sets: address and incarnation of each voter, by set
    """

    sets: list[list[tuple[str, str]]]


_RECORDS = BoundaryDecoder[VotersRecord](VotersRecord)


class VoterRepository:
    """Loads and stores the sets of voters during one term.

    Each write checks the leader row and the version of the row, so that
    neither a replaced leader nor a delayed write changes the sets.
    """

    def __init__(
        self, ports: SchedulerPorts, store_health: StoreHealth, term: int
    ) -> None:
        """Create a repository; nothing is read yet.

        :param ports: clock, store and log
        :param store_health: records the answers and failures of the store
        :param term: number of the term, which is the leader row's version
        """
        self._ports = ports
        self._store_health = store_health
        self._transactions = TermTransactions(ports, store_health, term)
        self._version = 0

    async def load(self) -> list[VoterSet] | None:
        """Return the stored sets; a failed read is repeated.

        :returns: the sets, None if the row is not readable
        """
        while True:
            result = await self._ports.store.get(
                tables.CONTROL, tables.VOTERS_KEY
            )
            now = self._ports.clock.now()
            if isinstance(result, Ok):
                break
            self._store_health.record_failure(result.err_value.detail, now)
            await asyncio.sleep(_RETRY_INTERVAL_S)
        self._store_health.record_answer(now)
        row = result.ok_value
        if row is None:
            return []
        self._version = row.version
        record = _RECORDS.convert(row.value)
        if isinstance(record, Ok):
            return [
                frozenset(Voter(*voter) for voter in voters)
                for voters in record.ok_value.sets
            ]
        self._ports.log.line(
            "row.unreadable",
            row.key,
            table=tables.CONTROL,
            version=row.version,
            problem=record.err_value,
        )
        return None

    async def store(self, sets: Sequence[VoterSet]) -> bool:
        """Store the sets of voters, once.

        :returns: whether they are known to be stored
        :raises TermEnded: another process was elected
        """
        value = {"sets": [sorted(voters) for voters in sets]}
        row = PutRow(tables.CONTROL, tables.VOTERS_KEY, self._version, value)
        result = await self._transactions.apply([row])
        if isinstance(result, Ok):
            self._version = result.ok_value
            return True
        # An unanswered call may have written the row.
        for version in result.err_value.values():
            self._version = version
        return False
