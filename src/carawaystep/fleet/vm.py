"""A target VM in the platform's list."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.vm_state import VmState


@dataclass(frozen=True, slots=True)
class Vm:
    """A target VM and its worker.

    :param name: name of the worker on it
    :param availability_zone: name of its availability zone
    :param rack: name of its rack
    :param url: base URL of the worker
    :param state: live or leaving
    """

    name: str
    availability_zone: str
    rack: str
    url: str
    state: VmState
