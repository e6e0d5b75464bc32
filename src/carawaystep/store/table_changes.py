"""Page of a table's change feed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.store.row import Row


@dataclass(frozen=True, slots=True)
class TableChanges:
    """One page of changed rows, in order of their revisions.

    :param rows: the changed rows; deleted rows have the value None
    :param revision: value of ``since`` for reading the next page
    :param more: True when the next page is available without waiting
    """

    rows: tuple[Row, ...]
    revision: int
    more: bool
