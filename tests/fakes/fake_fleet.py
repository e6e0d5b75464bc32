"""Fake deployment: platform, workers and entries in one event loop."""

from __future__ import annotations

from itertools import count
from pathlib import Path
from typing import TYPE_CHECKING

from carawaystep.entry.entry_node import EntryNode
from carawaystep.settings.entry_settings import EntrySettings
from carawaystep.settings.standin_platform_settings import (
    StandinPlatformSettings,
)
from carawaystep.settings.standin_worker_settings import StandinServiceSettings
from carawaystep.settings.standin_worker_settings import StandinWorkerSettings
from carawaystep.standin.platform.standin_platform import StandinPlatform
from carawaystep.standin.worker.run_time_model import RunTimeModel
from carawaystep.standin.worker.standin_worker import StandinWorker
from carawaystep.timeline.event_ring import EventRing
from tests.fakes.fake_counters import FakeCounters
from tests.fakes.fake_network import FakeNetwork
from tests.fakes.fake_ports import FakePorts
from tests.fakes.fake_worker import FakeWorker
from tests.fakes.fencing_only_admission import FencingOnlyAdmission

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from carawaystep.peer.peer_handler import PeerHandler

_HTTP = {"host": "127.0.0.1", "port": 1}


class FakeFleet:
    """A small deployment with fault injection.

    Entries run the real code; the network, the platform and the workers are
    fakes. Nothing runs outside the event loop.
    """

    def __init__(
        self,
        random: Random,
        zones: int = 2,
        entries: int = 2,
        workers: int = 2,
        slots: int = 4,
        cpu: float = 32.0,
        services: dict[str, StandinServiceSettings] | None = None,
    ) -> None:
        """Create the platform and the workers; no entry runs yet.

        :param random: source of all random decisions
        :param zones: number of availability zones
        :param entries: number of entries in each availability zone
        :param workers: number of workers in each availability zone
        :param slots: slots of each worker
        :param cpu: cores of each worker
        :param services: run times and failure rates by service
        """
        self._random = random
        self._slots = slots
        self._cpu = cpu
        self.dispatch_violations: list[str] = []
        self._services = services or {}
        self._incarnation_numbers = count(1)
        self.network = FakeNetwork(random)
        self.zones = [f"zone{number}" for number in range(zones)]
        self._network_names: dict[str, tuple[str, ...]] = {
            f"{zone}-e{number}": (f"{zone}-e{number}", zone)
            for zone in self.zones
            for number in range(entries)
        }
        names = [
            (f"{zone}-w{number}", zone)
            for zone in self.zones
            for number in range(workers)
        ]
        self.workers = {
            name: FakeWorker(self._worker_factory(name)) for name, _ in names
        }
        self.platform = StandinPlatform(
            StandinPlatformSettings.model_validate(
                {
                    "http": _HTTP,
                    "writes_per_s": 4000,
                    "reads_per_s": 20000,
                    "vms": [
                        {
                            "name": name,
                            "availability_zone": zone,
                            "rack": f"{zone}-r1",
                            "url": f"http://{name}",
                        }
                        for name, zone in names
                    ],
                }
            )
        )
        self.nodes: dict[str, EntryNode] = {}
        self._incarnation_by_entry: dict[str, str] = {}
        self.counters: dict[str, FakeCounters] = {}
        self.event_rings: list[EventRing] = []

    @property
    def entry_names(self) -> list[str]:
        """Return the names of all entries, running or stopped."""
        return list(self._network_names)

    def create_node(self, name: str) -> EntryNode:
        """Create a new process of an entry without starting it.

        :param name: name of the entry
        """
        _, zone = self._network_names[name]
        settings = EntrySettings.model_validate(
            {
                "name": name,
                "availability_zone": zone,
                "http": _HTTP,
                "advertised_url": f"http://{name}",
                "peer_address": f"tcp://{name}",
                "platform": {"url": "http://platform"},
                "access": {"tokens_file": Path("tokens.yaml")},
                "drain_limit_s": 20,
                "seed_peers": [
                    f"tcp://{other}"
                    for other, names in self._network_names.items()
                    if names[1] == zone and other != name
                ],
            }
        )
        counters = FakeCounters()
        event_ring = EventRing(100_000)
        incarnation = f"{name}-{next(self._incarnation_numbers)}"
        self._incarnation_by_entry[name] = incarnation
        node = EntryNode(
            settings,
            incarnation,
            FakePorts(self, (incarnation, name, zone)),
            counters,
            event_ring,
        )
        self.nodes[name] = node
        self.counters[name] = counters
        self.event_rings.append(event_ring)
        return node

    async def start_all(self) -> None:
        """Start every entry."""
        for name in self._network_names:
            await self.create_node(name).start()

    async def kill(self, name: str) -> None:
        """Kill an entry process; its pending calls get no answer.

        :param name: name of the entry
        """
        self.network.pause(self._incarnation_by_entry[name])
        await self.nodes.pop(name).stop()

    def process_name(self, name: str) -> str:
        """Return the name (the incarnation) of an entry's latest process."""
        return self._incarnation_by_entry[name]

    async def stop(self) -> None:
        """Kill all entry processes."""
        for name in list(self.nodes):
            await self.kill(name)

    def peer_handler_at(self, address: str) -> PeerHandler | None:
        """Return the peer handler of an entry, None if it does not run.

        :param address: peer address of the entry
        """
        node = self.nodes.get(address.removeprefix("tcp://"))
        return None if node is None else node.peer_handler

    def network_names(self, address: str) -> tuple[str, ...]:
        """Return the network names of the process at a peer address.

        :param address: peer address of the entry
        :returns: names of the process, the entry and the availability zone
        """
        name = address.removeprefix("tcp://")
        return (
            self._incarnation_by_entry.get(name, name),
            *self._network_names[name],
        )

    def _worker_factory(self, name: str) -> Callable[[], StandinWorker]:
        settings = StandinWorkerSettings.model_validate(
            {
                "name": name,
                "http": _HTTP,
                "slots": self._slots,
                "cpu": self._cpu,
            }
        )

        def create_worker() -> StandinWorker:
            return StandinWorker(
                settings,
                RunTimeModel(self._services, self._random),
                FencingOnlyAdmission,
            )

        return create_worker
