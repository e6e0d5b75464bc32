"""Port that names the places of a configuration in its file's words."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.configuration_check.location import Location


class FieldPaths(ABC):
    """Names of the fields of one file format."""

    @abstractmethod
    def path(self, location: Location) -> str:
        """Return the path of a place, as the file's author knows it."""
