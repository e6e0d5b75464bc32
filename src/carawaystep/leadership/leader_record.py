"""The stored record of a leader."""

from __future__ import annotations

import msgspec


class LeaderRecord(msgspec.Struct, frozen=True):
    """Who leads.

    :param name: name of the process's node, empty when nobody leads
    :param incarnation: id of the process
    """

    name: str = ""
    incarnation: str = ""
