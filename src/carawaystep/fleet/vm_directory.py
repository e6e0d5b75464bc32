"""Port to the platform's list of VMs."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result

    from carawaystep.fleet.vm import Vm
    from carawaystep.store.table_failure import TableFailure


class VmDirectory(ABC):
    """The list of live and leaving VMs.

    It lags behind the actual state of the VMs.
    """

    @abstractmethod
    async def vms(self) -> Result[tuple[Vm, ...], TableFailure]:
        """Return the whole list, or the failure of the read."""
