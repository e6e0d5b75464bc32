"""Rows changed since a revision."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.store.row import Row


@dataclass(frozen=True, slots=True)
class TableChanges:
    """One page of changed rows, in order of revision.

    :param rows: the rows; a deleted one has the value None
    :param revision: pass it as ``since`` to get what comes next
    :param more: True when another page is ready
    """

    rows: tuple[Row, ...]
    revision: int
    more: bool
