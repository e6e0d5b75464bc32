"""Fake ports of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.entry.ports import Ports
from tests.fakes.fake_clock import FakeClock
from tests.fakes.fake_peer_port import FakePeerPort
from tests.fakes.fake_platform import FakePlatform
from tests.fakes.fake_worker_port import FakeWorkerPort

if TYPE_CHECKING:
    from carawaystep.entry.clock import Clock
    from carawaystep.fleet.vm import Vm
    from carawaystep.fleet.vm_directory import VmDirectory
    from carawaystep.peer.peer_port import PeerPort
    from carawaystep.store.table_service import TableService
    from carawaystep.worker.worker_port import WorkerPort
    from tests.fakes.fake_fleet import FakeFleet


class FakePorts(Ports):
    """Connects one entry process to a fake fleet."""

    def __init__(self, fleet: FakeFleet, source: tuple[str, ...]) -> None:
        """Create the ports.

        :param fleet: the deployment
        :param source: network names of the process: process, entry and
            availability zone
        """
        self._fleet = fleet
        self._source = source
        self._clock = FakeClock()
        self._platform = FakePlatform(fleet.platform, fleet.network, source)

    @property
    def clock(self) -> Clock:
        """Return the clock of the event loop."""
        return self._clock

    @property
    def store(self) -> TableService:
        """Return the connection to the fake platform."""
        return self._platform

    @property
    def vm_directory(self) -> VmDirectory:
        """Return the connection to the fake platform."""
        return self._platform

    def worker(self, vm: Vm) -> WorkerPort:
        """Create a port to a worker."""
        return FakeWorkerPort(
            self._fleet.workers[vm.name],
            vm.availability_zone,
            self._fleet.network,
            self._source,
            self._fleet.dispatch_violations,
        )

    async def peer(self, address: str) -> PeerPort:
        """Create a port to another entry."""
        return FakePeerPort(
            lambda: self._fleet.peer_handler_at(address),
            self._fleet.network_names(address),
            self._fleet.network,
            self._source,
        )
