"""What a relay does with the bytes of a connection."""

from __future__ import annotations

from enum import StrEnum


class RelayMode(StrEnum):
    """State of one relayed connection.

    ``CUT`` holds all bytes and the end of the connection back until the cut
    is over, as TCP does in a partition. ``SILENT`` drops everything for good
    and leaves the connection open.
    """

    PASS = "pass"
    CUT = "cut"
    SILENT = "silent"
