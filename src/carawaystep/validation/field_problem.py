"""Problem of one field of a decoded value."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class FieldProblemKind(Enum):
    """Ways in which a field differs from its model."""

    MISSING = "missing"
    WRONG_TYPE = "wrong type"
    OUT_OF_RANGE = "out of range"


@dataclass(frozen=True, slots=True)
class FieldProblem:
    """A field that does not conform to its model.

    :param kind: how it differs
    :param path: keys and positions from the top, such as ``routes[2].name``
    :param detail: what is there and what is allowed
    """

    kind: FieldProblemKind
    path: str
    detail: str
