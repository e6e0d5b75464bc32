"""Operations that a transaction consists of."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Operation:
    """Base class of the operations; each concerns one row.

    :param table: name of the table
    :param key: key of the row
    :param expected: version that the row must have, 0 when it must not
        exist, None to accept any version
    """

    table: str
    key: str
    expected: int | None


@dataclass(frozen=True, slots=True)
class CheckRow(Operation):
    """Fails the transaction when the row has another version."""


@dataclass(frozen=True, slots=True)
class DeleteRow(Operation):
    """Deletes the row; fails the transaction if it has another version."""


@dataclass(frozen=True, slots=True)
class PutRow(Operation):
    """Writes the row; fails the transaction if it has another version.

    :param value: new JSON value
    """

    value: Any
