"""Port to the list of workers in the store."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.worker_offer import WorkerOffer
    from carawaystep.store.row import Row


class WorkerList(ABC):
    """A table whose rows describe workers."""

    table: str

    @abstractmethod
    def offer_from_row(self, row: Row) -> WorkerOffer | None:
        """Return the worker of a row, None when it names none."""
