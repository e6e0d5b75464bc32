"""Interface to the list of workers in the store."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.worker_offer import WorkerOffer
    from carawaystep.store.row import Row


class WorkerList(ABC):
    """Table of the store whose rows describe workers.

    Implementations set ``table`` to its name.
    """

    table: str

    @abstractmethod
    def offer_from_row(self, row: Row) -> WorkerOffer | None:
        """Parse a row; return None when it describes no worker."""
