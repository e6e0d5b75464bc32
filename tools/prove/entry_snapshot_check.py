"""A check that is fed with what entries show."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.prove.entry_snapshot import EntrySnapshot


class EntrySnapshotCheck(ABC):
    """Compares sightings with an invariant."""

    @abstractmethod
    def observe(self, sighting: EntrySnapshot) -> None:
        """Take a sighting."""
