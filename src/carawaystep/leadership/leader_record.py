"""Value of the leader row in the store."""

from __future__ import annotations

import msgspec

# The codecs read the annotations at run time.
from carawaystep.validation.bounds import Seconds  # noqa: TC001


class LeaderRecord(msgspec.Struct, frozen=True):
    """The elected leader.

    :param name: name of the leader's node, empty if nobody leads
    :param incarnation: id of the process, different after a restart
    :param address: ZeroMQ address of the leader's node, empty if unknown
    :param predecessors: by address of a node that led before, the seconds
        from the election after which its lease as the leader has ended
    :param needs_majority: whether it gives grants only while the store or a
        majority of the stored voters confirms its term; leaders of earlier
        versions do not
    :param predecessors_need_majority: the same for all ``predecessors``
    """

    name: str = ""
    incarnation: str = ""
    address: str = ""
    predecessors: dict[str, Seconds] = {}
    needs_majority: bool = False
    predecessors_need_majority: bool = False
