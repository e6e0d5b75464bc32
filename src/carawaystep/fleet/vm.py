"""A VM in the platform's list."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.vm_state import VmState


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM of the fleet, and the worker that runs on it.

    :param name: name of the VM's worker, which identifies the VM in the list
    :param availability_zone: name of the VM's availability zone
    :param rack: name of the VM's rack
    :param url: base URL of the worker
    :param state: whether the VM stays in the fleet
    """

    name: str
    availability_zone: str
    rack: str
    url: str
    state: VmState
