"""Base class of the actions that inject faults."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.prove.fault_record import FaultRecord


class FaultAction(ABC):
    """Starts a fault, waits for its duration and undoes it."""

    @abstractmethod
    async def run(self, record: FaultRecord) -> None:
        """Inject the fault; return when it is over.

        A cancelled call undoes the fault.

        :param record: the fault, which has started
        """
