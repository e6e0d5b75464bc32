"""Operations of a transaction on the platform's table service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Operation:
    """What all operations have in common.

    :param table: name of the table
    :param key: key of the row
    :param expected: version that the row must have; 0 when it must not
        exist, None for any
    """

    table: str
    key: str
    expected: int | None


@dataclass(frozen=True, slots=True)
class CheckRow(Operation):
    """Fails the transaction unless the row has the expected version."""


@dataclass(frozen=True, slots=True)
class DeleteRow(Operation):
    """Deletes the row."""


@dataclass(frozen=True, slots=True)
class PutRow(Operation):
    """Writes the row.

    :param value: JSON value
    """

    value: Any
