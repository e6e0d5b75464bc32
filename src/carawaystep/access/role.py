"""Roles of a token."""

from __future__ import annotations

from enum import StrEnum


class Role(StrEnum):
    """What the holder of a token may do."""

    CALLER = "caller"
    OPERATOR = "operator"
