"""Modes of a relayed connection."""

from __future__ import annotations

from enum import StrEnum


class RelayMode(StrEnum):
    """How a relay treats the bytes of a connection.

    ``PASS`` forwards them. ``CUT`` holds them and the end of the connection
    back until the partition heals, as TCP does in a partition. ``SILENT``
    drops them permanently and leaves the connection open.
    """

    PASS = "pass"
    CUT = "cut"
    SILENT = "silent"
