"""Network implementation of the ports of an entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.adapters.platform_http.table_service import HttpTableService
from carawaystep.adapters.platform_http.vm_directory import HttpVmDirectory
from carawaystep.adapters.worker_http.http_worker_client import (
    HttpWorkerClient,
)
from carawaystep.adapters.zmq.peer_client import PeerClient
from carawaystep.entry.loop_clock import LoopClock
from carawaystep.entry.ports import Ports

if TYPE_CHECKING:
    from carawaystep.entry.clock import Clock
    from carawaystep.fleet.vm import Vm
    from carawaystep.fleet.vm_directory import VmDirectory
    from carawaystep.peer.peer_port import PeerPort
    from carawaystep.settings.entry_settings import EntrySettings
    from carawaystep.store.table_service import TableService
    from carawaystep.worker.worker_port import WorkerPort


class SystemPorts(Ports):
    """Reaches the platform and workers over HTTP, and peers over ZeroMQ."""

    def __init__(self, settings: EntrySettings) -> None:
        """Create the adapters of the platform.

        :param settings: settings of the entry process
        """
        self._settings = settings
        self._clock = LoopClock()
        self._table = HttpTableService(settings.platform)
        self._vm_directory = HttpVmDirectory(settings.platform)

    @property
    def clock(self) -> Clock:
        """Return the clock of the event loop."""
        return self._clock

    @property
    def store(self) -> TableService:
        """Return the platform's table service."""
        return self._table

    @property
    def vm_directory(self) -> VmDirectory:
        """Return the platform's VM list."""
        return self._vm_directory

    def worker(self, vm: Vm) -> WorkerPort:
        """Return a new client of a worker."""
        return HttpWorkerClient(vm.url, self._settings.workers)

    async def peer(self, address: str) -> PeerPort:
        """Return a new, started client of another entry."""
        client = PeerClient(address)
        await client.start()
        return client

    async def close(self) -> None:
        """Close the connections to the platform."""
        await self._table.close()
        await self._vm_directory.close()
