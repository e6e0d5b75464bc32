"""Composition root of a scheduler process."""

from __future__ import annotations

import asyncio
from secrets import token_hex
from typing import TYPE_CHECKING

import msgspec
from result import Ok

from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
from carawaystep.leadership.leader_record import LeaderRecord
from carawaystep.leadership.leadership import Leadership
from carawaystep.leadership.member_record import MemberRecord
from carawaystep.routing.current_routes import CurrentRoutes
from carawaystep.scheduler import tables
from carawaystep.scheduler.candidate import Candidate
from carawaystep.scheduler.interval_timer import IntervalTimer
from carawaystep.scheduler.leader_term import LeaderTerm
from carawaystep.scheduler.member import Member
from carawaystep.scheduler.operator_follower import OperatorFollower
from carawaystep.scheduler.store_health import StoreHealth
from carawaystep.scheduler.workflow_service import WorkflowService
from carawaystep.store.operation import PutRow

if TYPE_CHECKING:
    from carawaystep.entry.supervisor import Supervisor
    from carawaystep.scheduler.node_settings import NodeSettings
    from carawaystep.scheduler.ports import SchedulerPorts

_CAMPAIGN_CHECK_INTERVAL_S = 0.1
_RETRY_INTERVAL_S = 0.3


class SchedulerNode:
    """A member that can be elected leader, without its HTTP front ends."""

    def __init__(
        self,
        settings: NodeSettings,
        ports: SchedulerPorts,
        supervisor: Supervisor,
    ) -> None:
        """Compose the node; no task is started.

        :param settings: settings of this process
        :param ports: access to all services outside the process
        :param supervisor: runs and restarts the node's tasks
        """
        self._settings = settings
        self._ports = ports
        self._supervisor = supervisor
        self._store_health = StoreHealth(ports.log, ports.clock.now())
        self._leadership = Leadership(
            settings.name, settings.cores, ports.clock.now()
        )
        incarnation = token_hex(6)
        self._evacuated_zones = EvacuatedZones(settings.evacuation_in_force)
        self._member = Member(
            settings,
            ports,
            self._leadership,
            incarnation,
            self._evacuated_zones,
        )
        self._candidate = Candidate(
            LeaderRecord(
                settings.name,
                incarnation,
                settings.cluster_address,
                needs_majority=True,
            ),
            ports,
            self._leadership,
            self._store_health,
        )
        self._leader_term: LeaderTerm | None = None
        self._draining = False
        self.routes = CurrentRoutes()
        self._operator_follower = OperatorFollower(
            ports, self._store_health, self.routes, self._evacuated_zones
        )
        self.workflow_service = WorkflowService(
            self._member,
            self._leadership,
            ports.store,
            ports.clock,
            self._store_health,
        )

    @property
    def ready(self) -> bool:
        """Tell whether the node can serve callers."""
        return self.routes.table is not None and not self._draining

    def start(self) -> None:
        """Start the node's tasks."""
        self._supervisor.spawn("routes", self._operator_follower.run)
        self._supervisor.spawn("registration", self._register)
        self._supervisor.spawn("member", self._member.run)
        self._supervisor.spawn("leadership", self._run_elections)

    async def drain(self) -> None:
        """Hand over the leadership and the assigned workers."""
        self._draining = True
        self._member.drain()
        if self._leader_term is not None:
            await self._leader_term.resign()

    async def _register(self) -> None:
        """Store the member record, by which leaders find this process."""
        record = MemberRecord(
            self._settings.name,
            self._settings.cluster_address,
            self._settings.availability_zone,
            self._settings.cores,
        )
        row = PutRow(
            tables.MEMBERS, record.name, None, msgspec.to_builtins(record)
        )
        while True:
            stored = await self._ports.store.transact([row])
            if isinstance(stored, Ok):
                return
            now = self._ports.clock.now()
            self._store_health.record_failure(stored.err_value.detail, now)
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _run_elections(self) -> None:
        """Campaign whenever there is no working leader; lead if elected."""
        await self._candidate.read_leader_row()
        timer = IntervalTimer(self._ports.clock)
        while True:
            late_s = await timer.wait(_CAMPAIGN_CHECK_INTERVAL_S)
            if late_s:
                self._leadership.excuse_delay(late_s)
            now = self._ports.clock.now()
            if self._draining or not self._leadership.should_campaign(now):
                continue
            election = await self._candidate.campaign()
            if election is None:
                self._leadership.postpone_campaign(self._ports.clock.now())
                continue
            self._leader_term = LeaderTerm(
                self._settings,
                self._ports,
                self._store_health,
                self._leadership,
                election,
                self.routes,
                self._evacuated_zones,
            )
            try:
                await self._leader_term.run()
            finally:
                self._leader_term = None
                self._leadership.postpone_campaign(self._ports.clock.now())
