"""Value of the leader row in the store."""

from __future__ import annotations

import msgspec


class LeaderRecord(msgspec.Struct, frozen=True):
    """The elected leader.

    :param name: name of the leader's node, empty if nobody leads
    :param incarnation: id of the process, different after a restart
    """

    name: str = ""
    incarnation: str = ""
