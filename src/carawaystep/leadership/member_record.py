"""Stored record of a member."""

from __future__ import annotations

import msgspec

# The codecs read the annotations at run time.
from carawaystep.validation.bounds import Cores  # noqa: TC001


class MemberRecord(msgspec.Struct, frozen=True):
    """A process that leaders can connect to.

    :param name: name of the member's node
    :param address: ZeroMQ address on which leaders reach it
    :param availability_zone: name of its availability zone
    :param cores: its CPU capacity in cores of standard speed
    """

    name: str
    address: str
    availability_zone: str
    cores: Cores
