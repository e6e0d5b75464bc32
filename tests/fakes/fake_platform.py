"""Fake connection of an entry to the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar

from result import Err
from result import Ok

from carawaystep.fleet.vm_directory import VmDirectory
from carawaystep.store.table_failure import TableFailure
from carawaystep.store.table_failure import TableOutcomeUnknown
from carawaystep.store.table_failure import TableRefused
from carawaystep.store.table_service import TableService
from tests.fakes.fake_network import NoAnswer

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from result import Result

    from carawaystep.fleet.vm import Vm
    from carawaystep.standin.platform.standin_platform import StandinPlatform
    from carawaystep.store.operation import Operation
    from carawaystep.store.row import Row
    from carawaystep.store.table_changes import TableChanges
    from carawaystep.store.table_commit import TableCommit
    from tests.fakes.fake_network import FakeNetwork

Value = TypeVar("Value")

PLATFORM = ("platform", "platform")
_TIMEOUT_S = 2.0


class FakePlatform(TableService, VmDirectory):
    """Calls the aggregate of the stand-in platform over the fake network."""

    def __init__(
        self,
        platform: StandinPlatform,
        network: FakeNetwork,
        source: tuple[str, ...],
    ) -> None:
        """Create the connection of one entry process.

        :param platform: aggregate shared by all entries
        :param network: network that carries the calls
        :param source: network names of the calling process
        """
        self._platform = platform
        self._network = network
        self._source = source

    async def transact(
        self, operations: Sequence[Operation]
    ) -> Result[TableCommit, TableFailure]:
        """Apply all operations or none."""
        return await self._call(
            lambda now: self._platform.transact(operations, now)
        )

    async def get(
        self, table: str, key: str
    ) -> Result[Row | None, TableFailure]:
        """Read one row."""
        return await self._call(
            lambda now: self._platform.get_row(table, key, now)
        )

    async def changes(
        self,
        table: str,
        since: int,
        prefixes: Sequence[str] = (),
        wait_s: float = 0.0,
    ) -> Result[TableChanges, TableFailure]:
        """Read the rows written after a revision, without waiting."""
        return await self._call(
            lambda now: self._platform.changes(table, since, prefixes, now)
        )

    async def vms(self) -> Result[tuple[Vm, ...], TableFailure]:
        """Read the VM list."""
        listed = await self._call(self._platform.vms)
        return Ok(tuple(listed.ok_value)) if isinstance(listed, Ok) else listed

    async def _call(
        self, operation: Callable[[float], Result[Value, TableFailure]]
    ) -> Result[Value, TableFailure]:
        async def handle() -> Result[Value, TableFailure]:
            if self._platform.faults.refuse_next_call():
                return Err(TableRefused("outage"))
            return operation(asyncio.get_running_loop().time())

        answer = await self._network.call(
            self._source, PLATFORM, handle, _TIMEOUT_S
        )
        if answer is NoAnswer.NOT_SENT:
            return Err(TableRefused("no connection"))
        if isinstance(answer, NoAnswer):
            return Err(TableOutcomeUnknown("no answer"))
        return answer
