"""Port for decoding the rows that ask for evacuations."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.availability_zone.evacuation_request import (
        EvacuationRequest,
    )
    from carawaystep.store.row import Row


class EvacuationSource(ABC):
    """Decodes the rows of the table that also holds the routes."""

    @abstractmethod
    def request_from_row(self, row: Row) -> EvacuationRequest | None:
        """Decode a row.

        :param row: current version of a row, also of a deleted one
        :returns: the request, None when the row is about something else
        """
