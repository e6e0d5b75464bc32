"""A check that is fed with what entries show."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.prove.sighting import Sighting


class SightingCheck(ABC):
    """Compares sightings with an invariant."""

    @abstractmethod
    def observe(self, sighting: Sighting) -> None:
        """Take a sighting."""
