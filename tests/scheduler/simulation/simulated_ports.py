"""Ports of one process of a simulation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from carawaystep.fleet.placement_advisor import PlacementAdvisor
from carawaystep.scheduler.ports import SchedulerPorts
from tests.fakes.fake_clock import FakeClock
from tests.scheduler.simulation.simulated_evacuation_source import (
    SimulatedEvacuationSource,
)
from tests.scheduler.simulation.simulated_leader_port import (
    SimulatedLeaderPort,
)
from tests.scheduler.simulation.simulated_log import SimulatedLog
from tests.scheduler.simulation.simulated_member_channel import (
    SimulatedMemberChannel,
)
from tests.scheduler.simulation.simulated_route_source import (
    SimulatedRouteSource,
)
from tests.scheduler.simulation.simulated_store_link import SimulatedStoreLink
from tests.scheduler.simulation.simulated_worker_link import (
    SimulatedWorkerLink,
)
from tests.scheduler.simulation.simulated_worker_list import (
    SimulatedWorkerList,
)

if TYPE_CHECKING:
    from result import Result

    from carawaystep.availability_zone.evacuation_source import (
        EvacuationSource,
    )
    from carawaystep.cluster.leader_port import LeaderPort
    from carawaystep.cluster.member_channel import MemberChannel
    from carawaystep.entry.clock import Clock
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.fleet.worker_link import WorkerLink
    from carawaystep.fleet.worker_list import WorkerList
    from carawaystep.planner.advice_request import AdviceRequest
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.routing.route_source import RouteSource
    from carawaystep.store.table_service import TableService
    from tests.scheduler.simulation.simulated_environment import (
        SimulatedEnvironment,
    )
    from tests.scheduler.simulation.simulated_process import SimulatedProcess


class _NoAdvisor(PlacementAdvisor):
    async def ask(self, request: AdviceRequest) -> Result[dict[str, str], str]:
        return Err("no queue needs tickets")

    async def close(self) -> None:
        return


class SimulatedPorts(SchedulerPorts):
    """Connects a process to the simulated store, nodes and workers."""

    def __init__(
        self, process: SimulatedProcess, environment: SimulatedEnvironment
    ) -> None:
        """Create the ports of a process.

        :param process: the process
        :param environment: all that is outside the processes
        """
        self._process = process
        self._environment = environment
        self._clock = FakeClock()
        self._store = SimulatedStoreLink(
            environment.store,
            environment.store_faults,
            process,
            environment.random,
        )
        self._log = SimulatedLog(process.name, environment.record)
        self._leader_port = SimulatedLeaderPort(
            process, environment.connections
        )

    @property
    def clock(self) -> Clock:
        """Return the virtual clock."""
        return self._clock

    @property
    def store(self) -> TableService:
        """Return the connection to the store."""
        return self._store

    @property
    def route_source(self) -> RouteSource:
        """Return the source of the routes."""
        return SimulatedRouteSource()

    @property
    def evacuation_source(self) -> EvacuationSource:
        """Return the decoder of the requests to evacuate zones."""
        return SimulatedEvacuationSource()

    @property
    def worker_list(self) -> WorkerList:
        """Return the decoder of the list of workers."""
        return SimulatedWorkerList()

    @property
    def leader_port(self) -> LeaderPort:
        """Return the socket for leaders."""
        return self._leader_port

    @property
    def log(self) -> DecisionLog:
        """Return the log of the process."""
        return self._log

    @property
    def advisor(self) -> PlacementAdvisor:
        """Return an advisor that is never needed."""
        return _NoAdvisor()

    def bind(self, address: str) -> None:
        """Receive the messages to an address."""
        self._environment.connections.bind(address, self._leader_port)

    def open_worker_link(
        self, key: WorkerKey, address: str, lease_s: float
    ) -> WorkerLink:
        """Return a new link to a worker."""
        return SimulatedWorkerLink(
            key,
            lease_s,
            self._environment.fleet,
            self._environment.network,
            self._environment.order_faults,
            self._process,
            self._environment.random,
        )

    def open_member_channel(self, address: str) -> MemberChannel:
        """Return a new connection to a member."""
        return SimulatedMemberChannel(
            self._process, address, self._environment.connections
        )
