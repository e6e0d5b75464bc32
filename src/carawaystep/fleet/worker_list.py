"""Interface to the platform's list of workers, a table of the store."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.worker_record import WorkerRecord
    from carawaystep.store.row import Row


class WorkerList(ABC):
    """Names and decodes the table of the store that lists the workers.

    Implementations set ``table`` to the name of the table.
    """

    table: str

    @abstractmethod
    def record_from_row(self, row: Row) -> WorkerRecord | None:
        """Parse a row; return None when it describes no worker."""
