"""Base class of the checks of entry snapshots."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.prove.entry_snapshot import EntrySnapshot


class EntrySnapshotCheck(ABC):
    """Checks an invariant on the snapshots of all entries."""

    @abstractmethod
    def observe(self, snapshot: EntrySnapshot) -> None:
        """Check the next snapshot of an entry."""
