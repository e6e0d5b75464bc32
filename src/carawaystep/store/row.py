"""A row of the platform's table service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Row:
    """One version of a row.

    :param key: key within the table
    :param value: JSON value, None for a deleted row
    :param version: version of the row, from 1; each write adds 1 in the
        table service of the entries and may add more in others
    :param revision: position of the write in the order of all writes to the
        table service
    """

    key: str
    value: Any
    version: int
    revision: int
