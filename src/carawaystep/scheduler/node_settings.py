"""Settings of a scheduler process."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a process learns at its start.

    :param name: name of its node
    :param availability_zone: name of its availability zone
    :param cores: processor that it has, cores of usual speed
    :param cluster_address: zmq address on which leaders reach it
    :param max_lease_s: longest lease that a worker grants
    :param drain_s: time from the signal to stop until it may end
    """

    name: str
    availability_zone: str
    cores: float
    cluster_address: str
    max_lease_s: float
    drain_s: float
