"""Port to the platform's list of target VMs."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result

    from carawaystep.fleet.vm import Vm
    from carawaystep.store.table_failure import TableFailure


class VmDirectory(ABC):
    """The lagging list of live and leaving target VMs."""

    @abstractmethod
    async def vms(self) -> Result[tuple[Vm, ...], TableFailure]:
        """Read the whole list."""
