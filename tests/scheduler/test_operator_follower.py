"""Tests of the feed of the operator's table."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from result import Err
from result import Ok
from testtools import TestCase

from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
from carawaystep.routing.current_routes import CurrentRoutes
from carawaystep.scheduler.operator_follower import OperatorFollower
from carawaystep.scheduler.store_health import StoreHealth
from carawaystep.store.row import Row
from carawaystep.store.table_changes import TableChanges
from carawaystep.store.table_failure import TableRefused
from tests.planner.planners import RecordingLog
from tests.scheduler.simulation.simulated_evacuation_source import (
    SimulatedEvacuationSource,
)
from tests.scheduler.simulation.simulated_route_source import (
    SimulatedRouteSource,
)

_ROUTES = Row(SimulatedRouteSource.key, {}, 1, 1)
_FAILURE = Err(TableRefused("refused"))


def _answer(revision: int, *rows: Row) -> Ok[TableChanges]:
    return Ok(TableChanges(rows, revision, more=False))


class OperatorFollowerTest(TestCase):
    """Evacuations that a store shows between failures and full reads."""

    def _follow(self, *answers: object) -> EvacuatedZones:
        """Let a store give some answers, and none after them."""
        self.log = RecordingLog()
        left = list(answers)
        answered = asyncio.Event()

        async def changes(*_: object, **__: object) -> object:
            if not left:
                answered.set()
                await asyncio.Event().wait()
            return left.pop(0)

        ports = SimpleNamespace(
            clock=SimpleNamespace(now=lambda: 5.0),
            log=self.log,
            store=SimpleNamespace(changes=changes),
            route_source=SimulatedRouteSource(),
            evacuation_source=SimulatedEvacuationSource(),
        )
        zones = EvacuatedZones()
        self.routes = CurrentRoutes()
        follower = OperatorFollower(
            ports,  # type: ignore[arg-type]
            StoreHealth(self.log, 5.0),
            self.routes,
            zones,
        )

        async def run() -> None:
            task = asyncio.create_task(follower.run())
            async with asyncio.timeout(5.0):
                await answered.wait()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(run())
        return zones

    def test_failures_and_full_reads_between_changes(self) -> None:
        """Guards against removals that an outage hides, and made-up ones.

        Rows of the feed say nothing of others; a full read does.
        """
        zones = self._follow(
            _answer(4, _ROUTES, Row("north", {}, 2, 2)),
            _answer(5, Row("south", {}, 5, 5)),
            _FAILURE,
            _answer(9, _ROUTES, Row("south", {}, 5, 5)),
            _answer(9),
            _FAILURE,
            _FAILURE,
        )
        self.assertIsNotNone(self.routes.table)
        self.assertEqual({"south"}, zones.names)
        events = [e for e in self.log.events if e[0].startswith("zone.")]
        self.assertEqual(
            [
                ("zone.evacuated", "north"),
                ("zone.evacuated", "south"),
                ("zone.returned", "north"),
            ],
            events,
        )
