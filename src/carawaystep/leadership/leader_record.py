"""Value of the leader row in the store."""

from __future__ import annotations

import msgspec


class LeaderRecord(msgspec.Struct, frozen=True):
    """The elected leader.

    :param name: name of the leader's node, empty if nobody leads
    :param incarnation: id of the process, different after a restart
    :param address: ZeroMQ address of the leader's node, empty if unknown
    :param predecessors: addresses of the nodes that led so shortly before
        that their leases may have been valid at the election
    """

    name: str = ""
    incarnation: str = ""
    address: str = ""
    predecessors: list[str] = []
