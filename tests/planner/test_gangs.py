"""Tests of steps whose tasks must run at the same time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.workflow.step_spec import StepSpec
from tests.planner.planners import LIMITS
from tests.planner.planners import new_planner
from tests.planner.planners import no_contacts
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import planner_with_workers
from tests.planner.planners import report
from tests.planner.planners import running
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from carawaystep.fleet.order import StartOrder
    from carawaystep.planner.planner import Planner


class GangTest(TestCase):
    """Tasks that must run at the same time."""

    _GANG = StepSpec(3, cpu_millis=3000, memory_mb=10, gang=True)

    def test_gang_starts_all_at_once_or_not_at_all(self) -> None:
        """Guards against gang tasks that run without the rest."""
        planner = planner_with_workers("w1", "w2")
        planner.admit(workflow_spec(self._GANG), False)
        self.assertEqual([], plan_and_take_starts(planner))
        planner.update_worker_list(
            [worker_record(name) for name in ("w1", "w2", "w3")], 0.0
        )
        planner.handle_report(report("w3"), 0.1)
        orders = plan_and_take_starts(planner, 0.1)
        self.assertEqual([1, 1, 1], [order.run for order in orders])

    def test_lost_task_stops_the_rest_of_its_gang(self) -> None:
        """Guards against gang tasks that wait for a lost one."""
        planner = planner_with_workers("w1", "w2", "w3")
        planner.admit(workflow_spec(self._GANG), False)
        orders = plan_and_take_starts(planner)
        planner.handle_order_outcome(orders[0], OrderOutcome.FULL, 0.1)
        stops = planner.take_immediate_orders()
        self.assertEqual(
            {order.ref for order in orders[1:]}, {s.ref for s in stops}
        )

    def test_new_term_stops_the_rest_of_a_gang_of_a_vanished_worker(
        self,
    ) -> None:
        """Guards against gang tasks that wait for a task of a gone worker."""
        later = 10.1 + LIMITS.takeover_lost_after_s
        planner, orders = self._new_term_without_the_first_worker(later)
        planner.requeue_lost_runs(later, no_contacts)
        self.assertEqual(
            {(order.ref, order.run) for order in orders[1:]},
            {(s.ref, s.run) for s in planner.take_immediate_orders()},
        )

    def test_new_term_stops_the_rest_of_a_gang_of_a_restarted_worker(
        self,
    ) -> None:
        """Guards against gang tasks that wait for an earlier lifetime."""
        planner, orders = self._new_term_without_the_first_worker(10.1)
        planner.handle_report(
            report(orders[0].worker.id, started_at_ms=2), 10.2
        )
        self.assertEqual(
            {(order.ref, order.run) for order in orders[1:]},
            {(s.ref, s.run) for s in planner.take_immediate_orders()},
        )

    def _new_term_without_the_first_worker(
        self, reported_at: float
    ) -> tuple[Planner, list[StartOrder]]:
        """Return a new term in which two workers report a gang of three.

        :param reported_at: time of their reports, seconds
        :returns: the planner and the starts of the term before; the worker
            of the first is listed in a later lifetime, without a report
        """
        first = planner_with_workers("w1", "w2", "w3")
        spec = workflow_spec(self._GANG)
        first.admit(spec, False)
        orders = plan_and_take_starts(first)
        planner = new_planner(10.0)
        planner.restore(spec, first.workflows[spec.id].record())
        gone = orders[0].worker.id
        planner.update_worker_list(
            [
                worker_record(order.worker.id)
                for order in orders
                if order.worker.id != gone
            ]
            + [worker_record(gone, started_at_ms=2)],
            0.0,
        )
        for order in orders[1:]:
            planner.handle_report(
                report(order.worker.id, [running(order)]), reported_at
            )
        self.assertEqual([], planner.take_immediate_orders())
        return planner, orders
