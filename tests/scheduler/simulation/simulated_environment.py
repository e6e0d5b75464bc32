"""All that is outside the simulated processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.scheduler.simulation.order_faults import OrderFaults
from tests.scheduler.simulation.simulated_connections import (
    SimulatedConnections,
)
from tests.scheduler.simulation.simulated_fleet import SimulatedFleet
from tests.scheduler.simulation.simulated_network import SimulatedNetwork
from tests.scheduler.simulation.simulated_store import SimulatedStore
from tests.scheduler.simulation.store_faults import StoreFaults

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from tests.scheduler.simulation.simulation_record import SimulationRecord


class SimulatedEnvironment:
    """The store, the workers, the network and their faults."""

    def __init__(
        self,
        workers: list[str],
        random: Random,
        record: SimulationRecord,
        zones: Mapping[str, str],
    ) -> None:
        """Create environment without faults.

        :param workers: ids of the workers
        :param random: source of all random decisions
        :param record: record of the simulation
        :param zones: zones of the workers by their ids, by default the same
        """
        self.random = random
        self.record = record
        self.store = SimulatedStore()
        self.store_faults = StoreFaults()
        self.network = SimulatedNetwork(random)
        self.connections = SimulatedConnections(self.network)
        self.fleet = SimulatedFleet(workers, self.store, random, zones)
        self.order_faults = OrderFaults()
