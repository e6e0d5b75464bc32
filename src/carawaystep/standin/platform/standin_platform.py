"""The stand-in platform without its HTTP API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.standin.active_faults import ActiveFaults
from carawaystep.standin.platform.lagging_vm_list import LaggingVmList
from carawaystep.standin.platform.platform_counts import PlatformCounts
from carawaystep.standin.platform.token_bucket import TokenBucket
from carawaystep.standin.platform.transactional_table import TransactionalTable
from carawaystep.store.operation import CheckRow
from carawaystep.store.table_failure import TableRefused

if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from carawaystep.fleet.vm import Vm
    from carawaystep.settings.standin_platform_settings import (
        StandinPlatformSettings,
    )
    from carawaystep.standin.platform.vm_phase import VmPhase
    from carawaystep.store.operation import Operation
    from carawaystep.store.row import Row
    from carawaystep.store.table_changes import TableChanges
    from carawaystep.store.table_commit import TableCommit
    from carawaystep.store.table_failure import TableFailure


class StandinPlatform:
    """Table service, object store and VM list under shared rate limits.

    Each put and each delete consumes one write token. A call that writes
    nothing consumes one read token. Setting the state of a VM consumes none.
    """

    def __init__(self, settings: StandinPlatformSettings) -> None:
        """Create a platform without rows and objects.

        :param settings: rate limits and VMs
        """
        self._table = TransactionalTable()
        self._objects: dict[str, bytes] = {}
        self._vms = LaggingVmList(settings.vms, settings.vm_lag_s)
        self._writes = TokenBucket(settings.writes_per_s)
        self._reads = TokenBucket(settings.reads_per_s)
        self._faults = ActiveFaults()
        self._counts = PlatformCounts()

    @property
    def faults(self) -> ActiveFaults:
        """Return the faults that the platform injects."""
        return self._faults

    @property
    def counts(self) -> PlatformCounts:
        """Return the counters."""
        return self._counts

    @property
    def revision(self) -> int:
        """Return the revision of the last write."""
        return self._table.revision

    def transact(
        self, operations: Sequence[Operation], now: float
    ) -> Result[TableCommit, TableFailure]:
        """Apply all operations or none.

        :param operations: checks, writes and deletions
        :param now: current monotonic time in seconds
        """
        writes = sum(
            not isinstance(operation, CheckRow) for operation in operations
        )
        admitted = (
            self._admit_writes(writes, now)
            if writes
            else self._admit_read(now)
        )
        if not admitted:
            return _rate_exceeded()
        outcome = self._table.transact(operations)
        if outcome.is_err():
            self._counts.conflicts += 1
        else:
            self._counts.writes += writes
        return outcome

    def get_row(
        self, table: str, key: str, now: float
    ) -> Result[Row | None, TableFailure]:
        """Read a row; the result is None if it does not exist."""
        if not self._admit_read(now):
            return _rate_exceeded()
        return Ok(self._table.get(table, key))

    def changes(
        self, table: str, since: int, prefixes: Sequence[str], now: float
    ) -> Result[TableChanges, TableFailure]:
        """Read a page of the rows written or deleted after a revision."""
        if not self._admit_read(now):
            return _rate_exceeded()
        return Ok(self._table.changes(table, since, prefixes))

    def put_object(
        self, key: str, body: bytes, now: float
    ) -> Result[None, TableFailure]:
        """Store an object."""
        if not self._admit_writes(1, now):
            return _rate_exceeded()
        self._objects[key] = body
        self._counts.writes += 1
        return Ok(None)

    def get_object(
        self, key: str, now: float
    ) -> Result[bytes | None, TableFailure]:
        """Read an object; the result is None if it does not exist."""
        if not self._admit_read(now):
            return _rate_exceeded()
        return Ok(self._objects.get(key))

    def delete_object(
        self, key: str, now: float
    ) -> Result[bool, TableFailure]:
        """Delete an object.

        :returns: False if it did not exist
        """
        if not self._admit_writes(1, now):
            return _rate_exceeded()
        self._counts.writes += 1
        return Ok(self._objects.pop(key, None) is not None)

    def vms(self, now: float) -> Result[list[Vm], TableFailure]:
        """Read the VM list, which lags behind the actual states."""
        if not self._admit_read(now):
            return _rate_exceeded()
        return Ok(self._vms.list_vms(now, self._faults.lag_s))

    def set_vm_phase(self, name: str, phase: VmPhase, now: float) -> bool:
        """Set the actual state of a VM.

        :returns: False if there is no such VM
        """
        return self._vms.set_phase(name, phase, now)

    def _admit_writes(self, writes: int, now: float) -> bool:
        admitted = self._writes.try_consume(writes, now)
        if not admitted:
            self._counts.refused += 1
        return admitted

    def _admit_read(self, now: float) -> bool:
        admitted = self._reads.try_consume(1, now)
        if admitted:
            self._counts.reads += 1
        else:
            self._counts.refused += 1
        return admitted


def _rate_exceeded() -> Err[TableFailure]:
    return Err(TableRefused("the rate limit is exceeded; try again later"))
