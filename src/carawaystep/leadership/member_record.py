"""The stored record of a member."""

from __future__ import annotations

import msgspec


class MemberRecord(msgspec.Struct, frozen=True):
    """A process that can be reached by a leader.

    :param name: name of its node
    :param address: zmq address
    :param availability_zone: name of its availability zone
    :param cores: processor that it has, cores of usual speed
    """

    name: str
    address: str
    availability_zone: str
    cores: float
