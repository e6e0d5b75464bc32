"""A scheduler process: a member that may lead."""

from __future__ import annotations

import asyncio
from secrets import token_hex
from typing import TYPE_CHECKING

import msgspec
from result import Ok

from carawaystep.leadership.leadership import Leadership
from carawaystep.leadership.member_record import MemberRecord
from carawaystep.routing.current_routes import CurrentRoutes
from carawaystep.scheduler import tables
from carawaystep.scheduler.candidate import Candidate
from carawaystep.scheduler.feed import Feed
from carawaystep.scheduler.intake import Intake
from carawaystep.scheduler.leader_term import LeaderTerm
from carawaystep.scheduler.member import Member
from carawaystep.scheduler.store_pulse import StorePulse
from carawaystep.store.operation import PutRow

if TYPE_CHECKING:
    from carawaystep.entry.supervisor import Supervisor
    from carawaystep.scheduler.node_settings import NodeSettings
    from carawaystep.scheduler.ports import SchedulerPorts

_ROUTES_WAIT_S = 1.0
_WATCH_S = 0.1
_RETRY_S = 0.3


class SchedulerNode:
    """Composition of one process without its front ends."""

    def __init__(
        self,
        settings: NodeSettings,
        ports: SchedulerPorts,
        supervisor: Supervisor,
    ) -> None:
        """Compose the node; nothing runs yet.

        :param supervisor: keeps the node's tasks running
        """
        self._settings = settings
        self._ports = ports
        self._supervisor = supervisor
        self._pulse = StorePulse(ports.log, ports.clock.now())
        self._leadership = Leadership(
            settings.name, settings.cores, ports.clock.now()
        )
        self._member = Member(settings, ports, self._leadership)
        self._candidate = Candidate(
            settings.name, token_hex(6), ports, self._leadership, self._pulse
        )
        self._leading: LeaderTerm | None = None
        self._draining = False
        self.routes = CurrentRoutes()
        self.intake = Intake(
            self._member,
            self._leadership,
            ports.table,
            ports.clock,
            self._pulse,
        )

    @property
    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.routes.table is not None and not self._draining

    def start(self) -> None:
        """Start the node's tasks."""
        self._supervisor.spawn("routes", self._follow_routes)
        self._supervisor.spawn("registration", self._register)
        self._supervisor.spawn("member", self._member.run)
        self._supervisor.spawn("leadership", self._watch)

    async def drain(self) -> None:
        """Hand over what this process leads and calls."""
        self._draining = True
        self._member.drain()
        if self._leading is not None:
            await self._leading.resign()

    async def _follow_routes(self) -> None:
        source = self._ports.routes
        feed = Feed(self._ports, self._pulse, source.table, _ROUTES_WAIT_S)
        while True:
            for row in await feed.read():
                if row.key != source.key or row.value is None:
                    continue
                table = source.routes(row)
                if table is None:
                    self._ports.log.line(
                        "routes.unreadable", row.key, version=row.version
                    )
                elif self.routes.apply(table):
                    self._ports.log.line(
                        "routes.applied",
                        row.key,
                        version=table.version,
                        routes=len(table.routes),
                    )

    async def _register(self) -> None:
        """Store how leaders reach this process."""
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
            stored = await self._ports.table.transact([row])
            if isinstance(stored, Ok):
                return
            now = self._ports.clock.now()
            self._pulse.failed(stored.err_value.detail, now)
            await asyncio.sleep(_RETRY_S)

    async def _watch(self) -> None:
        """Lead when nobody else does."""
        await self._candidate.observe()
        while True:
            await asyncio.sleep(_WATCH_S)
            now = self._ports.clock.now()
            if self._draining or not self._leadership.should_challenge(now):
                continue
            term = await self._candidate.challenge()
            if term is None:
                self._leadership.postpone(self._ports.clock.now())
                continue
            self._leading = LeaderTerm(
                self._settings, self._ports, self._pulse, term
            )
            try:
                await self._leading.run()
            finally:
                self._leading = None
                self._leadership.postpone(self._ports.clock.now())
