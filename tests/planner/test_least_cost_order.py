"""Tests of the order of waiting workflows by the cost of their delay."""

from __future__ import annotations

from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.planner.least_cost_order import LeastCostOrder
from carawaystep.scheduler.load_settings import LoadSettings
from carawaystep.scheduler.load_settings import WaitingOrderName
from carawaystep.scheduler.waiting_orders import create_waiting_order
from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.task_ref import TaskRef
from tests.workflow.workflows import workflow

if TYPE_CHECKING:
    from carawaystep.workflow.workflow import Workflow

_ACCEPTED_AT_S = 1000.0


def _workflow(tasks: int, **changes: object) -> Workflow:
    """Return a workflow of 1 s whose target duration is 2 s."""
    step = StepSpec(tasks, cpu_millis=1000, memory_mb=1, estimated_s=1.0)
    values = {"stretch": 1.0, "objective_s": 1.0, **changes}
    return workflow(step, accepted_at_s=_ACCEPTED_AT_S, **values)


class LeastCostOrderTest(TestCase):
    """Ranks of workflows that wait at the same time."""

    def _assert_first(
        self, first: Workflow, second: Workflow, age_s: float
    ) -> None:
        order = LeastCostOrder()
        wall_now = _ACCEPTED_AT_S + age_s
        self.assertLess(
            order.rank(first, wall_now), order.rank(second, wall_now)
        )

    def test_small_workflow_goes_before_a_large_one(self) -> None:
        """Guards against many callers who wait for one with much work."""
        self._assert_first(_workflow(2), _workflow(60), age_s=0.5)

    def test_workflow_in_time_goes_before_a_late_one(self) -> None:
        """Guards against work that is late already and makes more so."""
        early = _workflow(8, id="a" * 16)
        late = _workflow(8, id="0" * 16, objective_s=0.0)
        self._assert_first(early, late, age_s=0.5)

    def test_useless_work_waits_for_less_urgent_useful_work(self) -> None:
        """Guards against room for work that nobody waits for any more."""
        useless = _workflow(1, priority=0, stretch=0.0, objective_s=0.1)
        useful = _workflow(1, priority=2)
        self._assert_first(useful, useless, age_s=0.5)

    def test_started_workflow_goes_first(self) -> None:
        """Guards against work that is lost when newer work passes it."""
        started = _workflow(60)
        started.place(TaskRef(started.id, 0, 0, 0), WorkerKey("w1", 1))
        self._assert_first(started, _workflow(2), age_s=0.5)

    def test_work_without_declared_needs_has_a_rank(self) -> None:
        """Guards against a division by zero."""
        step = StepSpec(1)
        empty = workflow(step, accepted_at_s=_ACCEPTED_AT_S, objective_s=0.0)
        self._assert_first(empty, _workflow(60), age_s=0.0)

    def test_settings_choose_the_order(self) -> None:
        """Guards against a setting without effect."""
        settings = LoadSettings(waiting_order=WaitingOrderName.LEAST_COST)
        self.assertIsInstance(create_waiting_order(settings), LeastCostOrder)
        self.assertNotIsInstance(
            create_waiting_order(LoadSettings()), LeastCostOrder
        )
