"""Ports of an entry process to its environment."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.entry.clock import Clock
    from carawaystep.fleet.vm import Vm
    from carawaystep.fleet.vm_directory import VmDirectory
    from carawaystep.peer.peer_port import PeerPort
    from carawaystep.store.table_service import TableService
    from carawaystep.worker.worker_port import WorkerPort


class Ports(ABC):
    """Provides the clock, the platform, workers and peers."""

    @property
    @abstractmethod
    def clock(self) -> Clock:
        """Return the clock."""

    @property
    @abstractmethod
    def store(self) -> TableService:
        """Return the platform's table service."""

    @property
    @abstractmethod
    def vm_directory(self) -> VmDirectory:
        """Return the platform's VM list."""

    @abstractmethod
    def worker(self, vm: Vm) -> WorkerPort:
        """Return a new port to a worker."""

    @abstractmethod
    async def peer(self, address: str) -> PeerPort:
        """Return a new link to another entry.

        :param address: peer address of the entry
        """
