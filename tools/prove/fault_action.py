"""What makes a fault happen."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.prove.fault_record import FaultRecord


class FaultAction(ABC):
    """Begins a fault, waits for its length and ends it."""

    @abstractmethod
    async def run(self, record: FaultRecord) -> None:
        """Return when the fault is over; undo it when cancelled."""
