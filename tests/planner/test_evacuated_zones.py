"""Tests of planning while availability zones are evacuated and returned."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
from carawaystep.availability_zone.evacuation_request import EvacuationRequest
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.planner.interference_aware_placement import (
    InterferenceAwarePlacement,
)
from carawaystep.planner.interference_model import InterferenceModel
from carawaystep.planner.planner import Planner
from carawaystep.planner.zone_ramp import RAMP_S
from carawaystep.workflow.step_spec import StepSpec
from tests.planner.planners import LIMITS
from tests.planner.planners import ONE_TASK
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import RecordingLog
from tests.planner.planners import report
from tests.planner.planners import SERVING
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from carawaystep.fleet.order import StartOrder

_WORKERS = {"n1": "north", "n2": "north", "s1": "south"}
# Each worker has room for four.
_TASK = StepSpec(1, cpu_millis=1000, memory_mb=100)


class EvacuatedZoneTest(TestCase):
    """Workers in the zones ``north`` and ``south``."""

    def setUp(self) -> None:
        """Create a planner whose node has not read any requests."""
        super().setUp()
        self.log = RecordingLog()
        self.zones = EvacuatedZones()
        self.revision = 0
        interference = InterferenceModel()
        self.planner = Planner(
            LIMITS,
            InterferenceAwarePlacement(interference),
            interference,
            self.log,
            0.0,
            evacuated_zones=self.zones,
        )
        self._report(0.0)

    def _report(self, now: float, cold_s: float = 0.0) -> None:
        records = [
            replace(
                worker_record(name),
                availability_zone=zone,
                cold_s=cold_s if name == "n1" else 0.0,
            )
            for name, zone in _WORKERS.items()
        ]
        self.planner.update_worker_list(records, now)
        for name in _WORKERS:
            self.planner.handle_report(report(name), now)

    def _read(self, *evacuated: str, now: float = 0.0) -> None:
        self.revision += 1
        requests = [EvacuationRequest(z, self.revision) for z in evacuated]
        self.zones.adopt(requests, self.revision, True, now)

    def _submit(self, number: int, step: StepSpec, priority: int = 1) -> None:
        spec = workflow_spec(step, id=f"{number:016x}", priority=priority)
        self.planner.admit(spec, stored=True)

    def _start(self, now: float = 0.0) -> dict[str, int]:
        """Plan and return the number of starts by worker."""
        starts = plan_and_take_starts(self.planner, now)
        names = [order.worker.id for order in starts]
        return {name: names.count(name) for name in sorted(set(names))}

    def test_nothing_starts_before_the_first_read(self) -> None:
        """Guards against a new leader that plans before it has read."""
        self._submit(1, _TASK)
        self.assertEqual({}, self._start())
        self._read()
        self.assertEqual(1, sum(self._start().values()))

    def test_evacuated_zone_gets_nothing_new(self) -> None:
        """Guards against starts of any kind of task in the zone."""
        self._read("north")
        self._submit(1, replace(_TASK, count=2, gang=True))
        self._submit(2, SERVING)
        self._submit(3, replace(_TASK, count=9))
        self.assertEqual({"s1": 4}, self._start())

    def test_nothing_is_stopped_in_the_zone_for_urgent_work(self) -> None:
        """Guards against preemption that frees room nobody may use."""
        self._read("south")
        self._submit(1, replace(_TASK, count=8), priority=5)
        self.assertEqual({"n1": 4, "n2": 4}, self._start())
        self._read("south", "north")
        self._submit(2, _TASK, priority=0)
        self.assertEqual({}, self._start())
        self.assertEqual([], self.planner.take_immediate_orders())

    def test_stored_start_is_withdrawn(self) -> None:
        """Guards against a start whose commit outlasts the request."""
        self._read("south")
        self._submit(1, _TASK)
        (order,) = plan_and_take_starts(self.planner)
        self.assertTrue(self.planner.should_send(order, 0.0))
        self._read("north")
        self.assertFalse(self.planner.should_send(order, 0.0))
        self.planner.withdraw_start(order)
        self.assertEqual(
            "zone-evacuated", self.log.fields["task.lost"]["reason"]
        )
        self.assertEqual({"s1": 1}, self._start())

    def test_task_that_a_member_refused_starts_elsewhere(self) -> None:
        """Guards against a start that counts as possibly executed."""
        self._read("south")
        self._submit(1, _TASK)
        (order,) = plan_and_take_starts(self.planner)
        self._read("north")
        self.planner.handle_order_outcome(order, OrderOutcome.EVACUATED, 0.0)
        self.assertEqual({"s1": 1}, self._start())

    def test_lasting_task_goes_on_until_it_ends(self) -> None:
        """Guards against sound tasks that a request for new work stops."""
        self._read("south")
        self._submit(1, SERVING)
        order = self._start_one()
        self._read("north")
        self.planner.clear_leaving_workers(0.0)
        self.assertEqual([], self.planner.take_immediate_orders())
        self.planner.handle_order_outcome(order, OrderOutcome.NOT_SENT, 0.0)
        self.assertEqual({"s1": 1}, self._start())

    def test_service_without_a_zone_is_logged_once(self) -> None:
        """Guards against work that waits for a reason in no log."""
        self._read("north", "south")
        self._submit(1, ONE_TASK)
        for now in (0.0, 0.6, 1.1):
            self.assertEqual({}, self._start(now))
        self._read("north", now=1.6)
        self._report(1.7)
        self._start(1.7)
        names = [n for n, _ in self.log.events if n.startswith("service.")]
        self.assertEqual(["service.evacuated", "service.returned"], names)

    def test_returned_zone_fills_gradually_and_cold_workers_last(self) -> None:
        """Guards against a flood of waiting work on cold workers."""
        self._read("north", "south")
        self._submit(1, replace(_TASK, count=12))
        self.assertEqual({}, self._start())
        self._read("south", now=10.0)
        self._report(10.1, cold_s=5.0)
        self.assertEqual({"n2": 4}, self._start(10.1))
        self._report(10.0 + RAMP_S, cold_s=4.0)
        self.assertEqual({"n1": 4}, self._start(10.0 + RAMP_S))

    def _start_one(self) -> StartOrder:
        (order,) = plan_and_take_starts(self.planner)
        self.assertFalse(isinstance(order, StopOrder))
        return order
