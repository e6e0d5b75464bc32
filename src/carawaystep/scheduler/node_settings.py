"""Settings of a scheduler process."""

from __future__ import annotations

from dataclasses import dataclass

from carawaystep.scheduler.load_settings import LoadSettings


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings that a process reads when it starts.

    :param name: name of the process's node
    :param availability_zone: name of its availability zone
    :param cores: its CPU capacity in cores of standard speed
    :param cluster_address: ZeroMQ address on which leaders reach it
    :param max_lease_s: longest lease that a worker grants, seconds
    :param drain_s: seconds between the start of the drain and the stop
    :param max_row_bytes: largest value of a row that the store accepts
    :param evacuation_in_force: whether the operator's requests to evacuate an
        availability zone are obeyed
    :param load: decisions under overload
    """

    name: str
    availability_zone: str
    cores: float
    cluster_address: str
    max_lease_s: float
    drain_s: float
    max_row_bytes: int = 65_536
    evacuation_in_force: bool = True
    load: LoadSettings = LoadSettings()
