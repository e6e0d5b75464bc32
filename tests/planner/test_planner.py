"""Tests of the planner's invariants and decisions."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.fleet.order import PaceOrder
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.fleet.worker_report import EndedRun
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.workflow import Workflow
from carawaystep.workflow.workflow_state import WorkflowState
from tests.planner.planners import LIMITS
from tests.planner.planners import new_planner
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import RecordingLog
from tests.planner.planners import report
from tests.planner.planners import running
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from carawaystep.fleet.order import StartOrder
    from carawaystep.planner.planner import Planner

_ONE_TASK = StepSpec(1, cpu_millis=1000, memory_mb=100)


def _planner_with_workers(*names: str) -> Planner:
    planner = new_planner()
    planner.update_worker_list([worker_record(name) for name in names])
    for name in names:
        planner.handle_report(report(name), 0.0)
    return planner


class PlannerTest(TestCase):
    """Starts, runs in doubt, lost runs and cancellations."""

    def test_worker_is_not_overcommitted(self) -> None:
        """Guards against overcommitted CPU."""
        planner = _planner_with_workers("w1")
        planner.admit(
            workflow_spec(StepSpec(9, cpu_millis=1000, memory_mb=1)), False
        )
        self.assertEqual(4, len(plan_and_take_starts(planner)))

    def test_memory_of_best_effort_tasks_counts(self) -> None:
        """Guards against best-effort tasks that overcommit memory."""
        planner = _planner_with_workers("w1")
        step = StepSpec(9, cpu_millis=1, memory_mb=280, fills=True)
        planner.admit(workflow_spec(step), False)
        self.assertEqual(3, len(plan_and_take_starts(planner)))

    def test_draining_workers_and_workers_without_report_get_nothing(
        self,
    ) -> None:
        """Guards against starts on workers that drain or never reported."""
        planner = new_planner()
        planner.update_worker_list(
            [worker_record("w1"), worker_record("w2", draining=True)]
        )
        planner.handle_report(report("w2"), 0.0)
        planner.admit(workflow_spec(_ONE_TASK), False)
        self.assertEqual([], plan_and_take_starts(planner))

    def test_limit_of_tasks_on_one_worker(self) -> None:
        """Guards against more tasks of a step on a worker than allowed."""
        planner = _planner_with_workers("w1", "w2")
        step = StepSpec(4, cpu_millis=1, memory_mb=1, max_per_worker=1)
        planner.admit(workflow_spec(step), False)
        workers = [order.worker.id for order in plan_and_take_starts(planner)]
        self.assertEqual(["w1", "w2"], sorted(workers))

    def test_unanswered_start_is_not_repeated_when_its_stop_is_confirmed(
        self,
    ) -> None:
        """Guards against a second run while the first is being stopped.

        A worker confirms a stop before the run has ended. Only a report
        requested after the confirmation shows that the run does not exist.
        """
        planner = _planner_with_workers("w1", "w2")
        planner.admit(workflow_spec(_ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_order_outcome(start, OrderOutcome.UNKNOWN, 0.1)
        (stop,) = planner.take_immediate_orders()
        self.assertIsInstance(stop, StopOrder)
        planner.handle_order_outcome(stop, OrderOutcome.DONE, 0.2)
        self.assertEqual([], plan_and_take_starts(planner, 0.2))
        planner.handle_report(report("w1"), 0.3)
        planner.handle_report(report("w2"), 0.3)
        self.assertEqual([], plan_and_take_starts(planner, 0.3))
        planner.handle_report(report(start.worker.id), 1.2)
        planner.handle_report(report("w1"), 1.3)
        planner.handle_report(report("w2"), 1.3)
        self.assertEqual(2, plan_and_take_starts(planner, 1.3)[0].run)

    def test_confirmed_stop_does_not_end_a_run_that_is_reported(self) -> None:
        """Guards against a second run beside one that is still stopping."""
        planner = _planner_with_workers("w1")
        planner.admit(workflow_spec(_ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_order_outcome(start, OrderOutcome.UNKNOWN, 0.1)
        (stop,) = planner.take_immediate_orders()
        planner.handle_order_outcome(stop, OrderOutcome.DONE, 0.2)
        for now in (0.3, 0.4, 0.5):
            planner.handle_report(report("w1", [running(start)]), now)
            self.assertEqual([], plan_and_take_starts(planner, now))
        ended = EndedRun(1, start.ref, start.run, RunEnd.STOPPED, "")
        planner.handle_report(report("w1", [], [ended]), 2.0)
        self.assertEqual(2, plan_and_take_starts(planner, 2.0)[0].run)

    def test_refused_start_is_placed_again(self) -> None:
        """Guards against a task that is forgotten after a refusal."""
        planner = _planner_with_workers("w1", "w2")
        planner.admit(workflow_spec(_ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_order_outcome(start, OrderOutcome.UNHEALTHY, 0.1)
        (again,) = plan_and_take_starts(planner, 0.1)
        self.assertNotEqual(start.worker, again.worker)

    def test_runs_on_a_silent_worker_wait_until_its_lease_has_passed(
        self,
    ) -> None:
        """Guards against a second run while an unreachable worker has one."""
        planner = _planner_with_workers("w1")
        planner.admit(workflow_spec(_ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_report(report("w1", [running(start)]), 1.0)
        planner.update_worker_list([worker_record("w2")])
        planner.handle_report(report("w2"), 1.0 + LIMITS.lost_after_s)
        planner.requeue_lost_runs(1.0 + LIMITS.lost_after_s)
        self.assertEqual(
            [], plan_and_take_starts(planner, 1.0 + LIMITS.lost_after_s)
        )
        planner.requeue_lost_runs(1.1 + LIMITS.lost_after_s)
        self.assertEqual(
            1, len(plan_and_take_starts(planner, 1.1 + LIMITS.lost_after_s))
        )

    def test_restarted_worker_has_lost_its_runs(self) -> None:
        """Guards against waiting for runs of an earlier lifetime."""
        planner = _planner_with_workers("w1")
        planner.admit(workflow_spec(_ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_report(report("w1", [running(start)]), 0.5)
        planner.update_worker_list([worker_record("w1", started_at_ms=2)])
        planner.handle_report(report("w1", started_at_ms=2), 1.0)
        (again,) = plan_and_take_starts(planner, 1.0)
        self.assertEqual(WorkerKey("w1", 2), again.worker)

    def _planner_with_a_start_during_a_restart(
        self,
    ) -> tuple[Planner, StartOrder]:
        """Return a planner whose start was ordered from an ended lifetime.

        The first report of the later lifetime of w1 does not list the run.
        """
        planner = _planner_with_workers("w1", "w2")
        planner.update_worker_list([worker_record("w1"), worker_record("w2")])
        spec = workflow_spec(
            StepSpec(2, cpu_millis=3000, memory_mb=100), max_attempts=3
        )
        planner.admit(spec, False)
        starts = {s.worker.id: s for s in plan_and_take_starts(planner)}
        planner.handle_report(report("w2", [running(starts["w2"])]), 0.1)
        later = report("w1", started_at_ms=2)
        planner.handle_report(later, 0.1)
        planner.update_worker_list(
            [worker_record("w1", started_at_ms=2), worker_record("w2")]
        )
        planner.handle_report(later, 0.2)
        return planner, starts["w1"]

    def test_start_that_a_later_lifetime_executes_is_not_repeated(
        self,
    ) -> None:
        """Guards against a second run beside a start during a restart.

        The later lifetime of the worker executes the start after its first
        report.
        """
        planner, start = self._planner_with_a_start_during_a_restart()
        self.assertFalse(planner.should_send(start))
        self.assertEqual([], plan_and_take_starts(planner, 0.2))
        (stop,) = planner.take_immediate_orders()
        self.assertEqual(
            (WorkerKey("w1", 2), start.ref, start.run),
            (stop.worker, stop.ref, stop.run),
        )
        listed = report("w1", [running(start)], started_at_ms=2)
        planner.handle_report(listed, 0.3)
        self.assertEqual([], plan_and_take_starts(planner, 0.3))
        end = EndedRun(1, start.ref, start.run, RunEnd.STOPPED, "")
        planner.handle_report(report("w1", [], [end], started_at_ms=2), 0.4)
        (again,) = plan_and_take_starts(planner, 0.4)
        self.assertEqual((start.ref, 2), (again.ref, again.run))

    def test_start_that_no_later_lifetime_executes_is_repeated(self) -> None:
        """Guards against a task that waits for a start that was lost."""
        planner, start = self._planner_with_a_start_during_a_restart()
        (stop,) = planner.take_immediate_orders()
        planner.handle_order_outcome(stop, OrderOutcome.DONE, 0.3)
        for now in (0.3, 0.4):
            self.assertEqual([], plan_and_take_starts(planner, now))
            planner.handle_report(report("w1", started_at_ms=2), now)
        (again,) = plan_and_take_starts(planner, 0.4)
        self.assertEqual((start.ref, 2), (again.ref, again.run))

    def test_new_term_waits_for_the_worker_of_a_stored_run(self) -> None:
        """Guards against a second run beside one of an earlier leader."""
        first = _planner_with_workers("w1")
        spec = workflow_spec(_ONE_TASK)
        first.admit(spec, False)
        (start,) = plan_and_take_starts(first)
        record = first.workflows[spec.id].record()
        planner = new_planner(10.0)
        planner.restore(spec, record)
        planner.update_worker_list([worker_record("w1"), worker_record("w2")])
        planner.handle_report(report("w2"), 10.0)
        self.assertEqual([], plan_and_take_starts(planner, 10.0))
        planner.handle_report(report("w1", [running(start)]), 10.1)
        self.assertEqual([], plan_and_take_starts(planner, 10.1))

    def test_new_term_adopts_a_run_of_a_later_lifetime(self) -> None:
        """Guards against a second run beside one of an earlier leader.

        Its start was ordered from a lifetime of the worker that had ended.
        """
        first = _planner_with_workers("w1")
        spec = workflow_spec(_ONE_TASK)
        first.admit(spec, False)
        (start,) = plan_and_take_starts(first)
        planner = new_planner(10.0)
        planner.restore(spec, first.workflows[spec.id].record())
        planner.update_worker_list(
            [worker_record("w1", started_at_ms=2), worker_record("w2")]
        )
        planner.handle_report(report("w2"), 10.0)
        planner.handle_report(
            report("w1", [running(start)], started_at_ms=2), 10.1
        )
        self.assertEqual([], plan_and_take_starts(planner, 10.1))
        self.assertEqual([], planner.take_immediate_orders())
        end = EndedRun(1, start.ref, start.run, RunEnd.DONE, "")
        planner.handle_report(report("w1", [], [end], started_at_ms=2), 10.2)
        self.assertEqual(WorkflowState.DONE, planner.state(spec.id))

    def test_new_term_requeues_a_run_that_its_worker_does_not_list(
        self,
    ) -> None:
        """Guards against waiting for a start that the new token prevents."""
        first = _planner_with_workers("w1")
        spec = workflow_spec(_ONE_TASK)
        first.admit(spec, False)
        plan_and_take_starts(first)
        planner = new_planner(10.0)
        planner.restore(spec, first.workflows[spec.id].record())
        planner.update_worker_list([worker_record("w1")])
        planner.handle_report(report("w1"), 10.0)
        self.assertEqual(2, plan_and_take_starts(planner, 10.0)[0].run)

    def test_stored_run_on_a_vanished_worker_is_placed_after_the_limit(
        self,
    ) -> None:
        """Guards against waiting forever for a removed worker."""
        first = _planner_with_workers("w1")
        spec = workflow_spec(_ONE_TASK)
        first.admit(spec, False)
        plan_and_take_starts(first)
        planner = new_planner(10.0)
        planner.restore(spec, first.workflows[spec.id].record())
        planner.update_worker_list([worker_record("w2")])
        later = 10.1 + LIMITS.takeover_lost_after_s
        planner.handle_report(report("w2"), later)
        self.assertEqual([], plan_and_take_starts(planner, later))
        planner.requeue_lost_runs(later)
        self.assertEqual(1, len(plan_and_take_starts(planner, later)))

    def test_cancellation_stops_runs_and_settles_after_their_ends(
        self,
    ) -> None:
        """Guards against runs that outlive their workflow."""
        planner = _planner_with_workers("w1")
        spec = workflow_spec(_ONE_TASK)
        planner.admit(spec, False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_report(report("w1", [running(start)]), 0.1)
        self.assertTrue(planner.cancel(spec.id))
        self.assertFalse(planner.should_send(start))
        self.assertIsInstance(planner.take_immediate_orders()[0], StopOrder)
        self.assertEqual({}, planner.take_changes().settled)
        ended = EndedRun(1, start.ref, start.run, RunEnd.STOPPED, "")
        planner.handle_report(report("w1", [], [ended]), 0.3)
        changes = planner.take_changes()
        self.assertEqual({spec.id: WorkflowState.CANCELLED}, changes.settled)
        self.assertEqual({start.worker: 1}, changes.acknowledged)

    def test_start_held_back_after_a_cancellation_uses_no_capacity(
        self,
    ) -> None:
        """Guards against a run that is stopped for the rest of the term.

        The worker never had the run, so it reports no end of it.
        """
        planner = _planner_with_workers("w1")
        spec = workflow_spec(_ONE_TASK)
        planner.admit(spec, False)
        (start,) = plan_and_take_starts(planner)
        planner.cancel(spec.id)
        self.assertFalse(planner.should_send(start))
        planner.withdraw_start(start)
        self.assertEqual(
            {spec.id: WorkflowState.CANCELLED}, planner.take_changes().settled
        )
        (worker,) = planner.workers.values()
        self.assertEqual({}, worker.runs)

    def test_unknown_workflow_is_not_cancelled(self) -> None:
        """Guards against confirming a cancellation without a workflow."""
        self.assertFalse(new_planner().cancel("0" * 16))

    def test_cancellation_read_before_its_submission_takes_effect(
        self,
    ) -> None:
        """Guards against starts of a workflow cancelled before it was known.

        The leader reads submissions and cancellations by separate feeds.
        """
        planner = _planner_with_workers("w1")
        spec = workflow_spec(_ONE_TASK)
        planner.apply_stored_cancellation(spec.id)
        planner.admit(spec, stored=True)
        planner.plan(0.0, 2000.0)
        changes = planner.take_changes()
        self.assertEqual([], changes.orders)
        self.assertEqual({spec.id: WorkflowState.CANCELLED}, changes.settled)
        self.assertEqual({spec.id: WorkflowState.CANCELLED}, changes.states)

    def test_stop_is_repeated_on_a_worker_that_is_not_listed(self) -> None:
        """Guards against a run that outlives its workflow's cancellation.

        A worker may be missing in the list while it works, and as long as it
        reports, its lease is extended.
        """
        planner = _planner_with_workers("w1")
        spec = workflow_spec(_ONE_TASK)
        planner.admit(spec, False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_report(report("w1", [running(start)]), 0.1)
        planner.update_worker_list([])
        planner.cancel(spec.id)
        (stop,) = planner.take_immediate_orders()
        planner.handle_order_outcome(stop, OrderOutcome.NOT_SENT, 0.2)
        planner.handle_report(report("w1", [running(start)]), 0.3)
        planner.retry_stops()
        self.assertEqual([stop], planner.take_immediate_orders())

    def test_unexpected_run_is_stopped(self) -> None:
        """Guards against a run that a late order starts after its loss."""
        planner = _planner_with_workers("w1")
        planner.admit(workflow_spec(_ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_order_outcome(start, OrderOutcome.EXPIRED, 0.1)
        planner.handle_report(report("w1", [running(start)]), 0.2)
        (stop,) = planner.take_immediate_orders()
        self.assertEqual((start.ref, start.run), (stop.ref, stop.run))

    def test_unexpected_run_uses_capacity_until_it_is_gone(self) -> None:
        """Guards against overcommitting a worker that checks no capacity."""
        planner = _planner_with_workers("w1")
        step = StepSpec(2, cpu_millis=3000, memory_mb=10)
        planner.admit(workflow_spec(step), False)
        (start,) = plan_and_take_starts(planner)
        planner.handle_order_outcome(start, OrderOutcome.EXPIRED, 0.1)
        reported_runs = [running(start)]
        planner.handle_report(report("w1", reported_runs), 1.5)
        self.assertEqual([], plan_and_take_starts(planner, 1.5))
        planner.handle_report(report("w1"), 2.0)
        self.assertEqual(1, len(plan_and_take_starts(planner, 2.0)))

    def test_failed_task_is_tried_on_another_worker(self) -> None:
        """Guards against a faulty worker that uses up a task's attempts."""
        planner = _planner_with_workers("w1", "w2")
        planner.admit(workflow_spec(_ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        ended = EndedRun(1, start.ref, start.run, RunEnd.FAILED, "")
        planner.handle_report(report(start.worker.id, [], [ended]), 0.5)
        self.assertNotEqual(
            start.worker, plan_and_take_starts(planner, 0.5)[0].worker
        )

    def test_urgent_work_preempts_less_urgent_work(self) -> None:
        """Guards against urgent work that waits for best-effort tasks."""
        planner = _planner_with_workers("w1")
        low = StepSpec(4, cpu_millis=100, memory_mb=210, fills=True)
        planner.admit(workflow_spec(low, id="a" * 16, priority=2), False)
        low_starts = plan_and_take_starts(planner)
        self.assertEqual(4, len(low_starts))
        reported_runs = [running(order) for order in low_starts]
        planner.handle_report(report("w1", reported_runs), 0.1)
        high = StepSpec(1, cpu_millis=100, memory_mb=300)
        planner.admit(workflow_spec(high, id="b" * 16), False)
        self.assertEqual([], plan_and_take_starts(planner, 0.2))
        stops = planner.take_immediate_orders()
        self.assertEqual(1, len(stops))
        self.assertIsInstance(stops[0], StopOrder)
        plan_and_take_starts(planner, 0.25)
        self.assertEqual([], planner.take_immediate_orders())

    def test_interrupted_task_goes_before_newer_work_of_its_priority(
        self,
    ) -> None:
        """Guards against a standing task that newer bookings keep away.

        A long-running workflow has no deadline that it could miss, so its
        age must not put it behind the work that can still be on time.
        """
        planner = _planner_with_workers("w1")
        standing = StepSpec(
            1, cpu_millis=3000, memory_mb=10, long_running=True
        )
        planner.admit(workflow_spec(standing, id="a" * 16), False)
        (start,) = plan_and_take_starts(planner)
        booking = StepSpec(1, cpu_millis=3000, memory_mb=10)
        planner.admit(
            workflow_spec(booking, id="b" * 16, accepted_at_s=2000.0), False
        )
        ended = EndedRun(1, start.ref, start.run, RunEnd.STOPPED, "")
        planner.handle_report(report("w1", [], [ended]), 0.5)
        self.assertEqual(
            [start.ref],
            [order.ref for order in plan_and_take_starts(planner, 0.5)],
        )

    def test_failed_long_running_task_may_return_if_no_other_worker_fits(
        self,
    ) -> None:
        """Guards against a standing task that waits beside its own room.

        Its failures are not limited, so that no attempt is lost there.
        """
        planner = _planner_with_workers("w1", "w2")
        planner.admit(
            workflow_spec(StepSpec(2, cpu_millis=3000), id="b" * 16), False
        )
        planner.update_worker_list(
            [worker_record(name) for name in ("w1", "w2", "w3")]
        )
        plan_and_take_starts(planner)
        planner.handle_report(report("w3"), 0.1)
        standing = StepSpec(
            1, cpu_millis=3000, memory_mb=10, long_running=True
        )
        planner.admit(workflow_spec(standing, id="a" * 16), False)
        (start,) = plan_and_take_starts(planner, 0.1)
        ended = EndedRun(1, start.ref, start.run, RunEnd.FAILED, "")
        planner.handle_report(report("w3", [], [ended]), 0.5)
        (again,) = plan_and_take_starts(planner, 0.5)
        self.assertEqual((start.ref, start.worker), (again.ref, again.worker))

    def test_failed_long_running_task_prefers_another_worker(self) -> None:
        """Guards against standing tasks that stay on a faulty worker."""
        planner = _planner_with_workers("w1", "w2")
        standing = StepSpec(
            1, cpu_millis=3000, memory_mb=10, long_running=True
        )
        planner.admit(workflow_spec(standing), False)
        (start,) = plan_and_take_starts(planner)
        ended = EndedRun(1, start.ref, start.run, RunEnd.FAILED, "")
        planner.handle_report(report(start.worker.id, [], [ended]), 0.5)
        (again,) = plan_and_take_starts(planner, 0.5)
        self.assertNotEqual(start.worker, again.worker)

    def test_new_long_running_task_waits_behind_work_that_can_be_on_time(
        self,
    ) -> None:
        """Guards against new standing work that displaces bookings."""
        planner = _planner_with_workers("w1")
        step = StepSpec(1, cpu_millis=3000, memory_mb=10)
        standing = replace(step, long_running=True)
        planner.admit(workflow_spec(standing, id="a" * 16), False)
        planner.admit(
            workflow_spec(step, id="b" * 16, accepted_at_s=2000.0), False
        )
        (start,) = plan_and_take_starts(planner)
        self.assertEqual("b" * 16, start.ref.workflow)

    def test_long_running_task_waits_for_more_urgent_priorities(self) -> None:
        """Guards against standing tasks that displace urgent work."""
        planner = _planner_with_workers("w1")
        step = StepSpec(1, cpu_millis=3000, memory_mb=10)
        standing = replace(step, long_running=True)
        planner.admit(workflow_spec(standing, id="a" * 16, priority=1), False)
        planner.admit(workflow_spec(step, id="b" * 16), False)
        (start,) = plan_and_take_starts(planner)
        self.assertEqual("b" * 16, start.ref.workflow)

    def test_a_worker_that_fails_several_workflows_is_suspended(self) -> None:
        """Guards against a faulty worker that uses up attempts.

        Each of several workflows would lose attempts to the same worker.
        """
        planner = _planner_with_workers("w1")
        for number in range(2):
            planner.admit(workflow_spec(_ONE_TASK, id=f"{number:016x}"), False)
        ends = [
            EndedRun(number, order.ref, order.run, RunEnd.FAILED, "")
            for number, order in enumerate(plan_and_take_starts(planner), 1)
        ]
        planner.handle_report(report("w1", [], ends), 0.5)
        self.assertEqual([], plan_and_take_starts(planner, 0.5))


class GangTest(TestCase):
    """Tasks that must run at the same time."""

    _GANG = StepSpec(3, cpu_millis=3000, memory_mb=10, gang=True)

    def test_gang_starts_all_at_once_or_not_at_all(self) -> None:
        """Guards against gang tasks that run without the rest."""
        planner = _planner_with_workers("w1", "w2")
        planner.admit(workflow_spec(self._GANG), False)
        self.assertEqual([], plan_and_take_starts(planner))
        planner.update_worker_list(
            [worker_record(name) for name in ("w1", "w2", "w3")]
        )
        planner.handle_report(report("w3"), 0.1)
        orders = plan_and_take_starts(planner, 0.1)
        self.assertEqual([1, 1, 1], [order.run for order in orders])

    def test_lost_task_stops_the_rest_of_its_gang(self) -> None:
        """Guards against gang tasks that wait for a lost one."""
        planner = _planner_with_workers("w1", "w2", "w3")
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
        planner.requeue_lost_runs(later)
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
        first = _planner_with_workers("w1", "w2", "w3")
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
            + [worker_record(gone, started_at_ms=2)]
        )
        for order in orders[1:]:
            planner.handle_report(
                report(order.worker.id, [running(order)]), reported_at
            )
        self.assertEqual([], planner.take_immediate_orders())
        return planner, orders


class EvacuationTest(TestCase):
    """Long-running tasks on leaving workers."""

    def test_long_running_task_moves_before_its_worker_leaves(self) -> None:
        """Guards against a long-running task that ends with its worker."""
        step = StepSpec(1, cpu_millis=10, memory_mb=1, long_running=True)
        planner = _planner_with_workers("w1")
        planner.admit(workflow_spec(step), False)
        (start,) = plan_and_take_starts(planner)
        planner.update_worker_list([worker_record("w1", draining=True)])
        planner.evacuate(0.1)
        self.assertEqual([], planner.take_immediate_orders())
        planner.update_worker_list(
            [worker_record("w1", draining=True), worker_record("w2")]
        )
        planner.handle_report(report("w2"), 0.2)
        planner.evacuate(0.2)
        (stop,) = planner.take_immediate_orders()
        self.assertEqual(start.ref, stop.ref)


class SharingTest(TestCase):
    """Best-effort tasks beside serving tasks."""

    _SERVING = StepSpec(
        1,
        cpu_millis=1000,
        memory_mb=100,
        long_running=True,
        image="serving",
        tail_target_ms=100.0,
    )
    _BEST_EFFORT = StepSpec(
        1, cpu_millis=1000, memory_mb=100, fills=True, image="best-effort"
    )

    def setUp(self) -> None:
        """Run a serving and a best-effort task on the only worker."""
        super().setUp()
        self.planner = _planner_with_workers("w1")
        self.planner.admit(workflow_spec(self._SERVING, id="a" * 16), False)
        (self.serving,) = plan_and_take_starts(self.planner)
        self.planner.admit(
            workflow_spec(self._BEST_EFFORT, id="b" * 16), False
        )
        (self.best_effort,) = plan_and_take_starts(self.planner)

    def _report(
        self, now: float, tail_ms: float, progress_percent: float = 10.0
    ) -> None:
        reported_runs = [
            running(self.serving, 100.0, tail_ms),
            running(self.best_effort, progress_percent),
        ]
        self.planner.handle_report(report("w1", reported_runs), now)

    def test_harmful_image_is_moved_away(self) -> None:
        """Guards against a tail that stays over its target."""
        self._report(1.0, 50.0)
        self._report(2.0, 900.0)
        (order,) = self.planner.take_immediate_orders()
        self.assertIsInstance(order, StopOrder)
        self.assertEqual(self.best_effort.ref, order.ref)

    def test_workflow_without_runs_is_placed_despite_harm(
        self,
    ) -> None:
        """Guards against waiting forever for a worker without harm."""
        self._report(1.0, 50.0)
        self._report(2.0, 900.0)
        ended = EndedRun(1, self.best_effort.ref, 1, RunEnd.STOPPED, "")
        reported_runs = [running(self.serving, 100.0, 50.0)]
        self.planner.handle_report(report("w1", reported_runs, [ended]), 2.2)
        self.assertEqual([], plan_and_take_starts(self.planner, 2.2))
        self.planner.handle_report(report("w1", reported_runs), 4.0)
        self.assertEqual(1, len(plan_and_take_starts(self.planner, 4.0)))

    def test_uncertain_images_are_placed_one_at_a_time(self) -> None:
        """Guards against harm that is attributed to the wrong image."""
        other = replace(self._BEST_EFFORT, image="other")
        self.planner.admit(workflow_spec(other, id="c" * 16), False)
        self._report(0.5, 50.0)
        self.assertEqual([], plan_and_take_starts(self.planner, 0.5))
        self._report(2.0, 50.0)
        self.assertEqual(1, len(plan_and_take_starts(self.planner, 2.0)))

    def test_slowed_task_leaves_its_cpu_to_others(self) -> None:
        """Guards against slowed tasks that block others from placement."""
        worker = next(iter(self.planner.workers.values()))
        before = worker.estimated_spare_cpu_millis
        worker.set_pace(self.best_effort.ref, 10, 1.0)
        self.assertEqual(before + 900, worker.estimated_spare_cpu_millis)

    def test_worker_with_a_harmed_task_gets_no_best_effort_tasks(self) -> None:
        """Guards against new best-effort tasks that prolong the harm."""
        self._report(1.0, 120.0)
        self.planner.admit(
            workflow_spec(self._BEST_EFFORT, id="c" * 16), False
        )
        self.assertEqual([], plan_and_take_starts(self.planner, 1.0))
        self._report(2.0, 50.0)
        self.assertEqual([], plan_and_take_starts(self.planner, 2.0))
        self._report(2.8, 50.0)
        self.assertEqual(1, len(plan_and_take_starts(self.planner, 2.8)))

    def test_lasting_harm_halts_all_best_effort_tasks(self) -> None:
        """Guards against harm that lasts longer than allowed."""
        for now in (1.0, 1.9, 2.8, 3.1):
            self._report(now, 900.0, progress_percent=80.0)
        orders = self.planner.take_immediate_orders()
        self.assertEqual(
            0,
            [o for o in orders if isinstance(o, PaceOrder)][-1].pace_percent,
        )


class RestoreTest(TestCase):
    """Stored workflows at the start of a term."""

    def test_settled_workflow_is_known(self) -> None:
        """Guards against a repeated submission that runs again."""
        planner = new_planner()
        planner.restore_final("c" * 16, WorkflowState.DONE)
        self.assertFalse(planner.admit(workflow_spec(id="c" * 16), False))

    def test_cancelled_workflow_without_runs_settles_at_once(self) -> None:
        """Guards against a row that is never removed."""
        spec = workflow_spec(_ONE_TASK)
        workflow = Workflow(spec)
        workflow.cancel()
        planner = new_planner()
        planner.restore(spec, workflow.record())
        changes = planner.take_changes()
        self.assertEqual({spec.id: WorkflowState.CANCELLED}, changes.settled)


class HeldWorkersTest(TestCase):
    """CPU that is kept for started workflows with large tasks."""

    def test_freed_cpu_is_held_for_a_larger_task(self) -> None:
        """Guards against a task that small ones keep from a place for good."""
        planner = _planner_with_workers("w1", "w2")
        small = StepSpec(1, cpu_millis=2000, memory_mb=10, estimated_s=1.0)
        for number in range(2):
            planner.admit(
                workflow_spec(
                    small, id=f"{number:016x}", accepted_at_s=2000.0
                ),
                False,
            )
        first, second = plan_and_take_starts(planner)
        self.assertEqual(first.worker, second.worker)
        large = StepSpec(2, cpu_millis=3000, memory_mb=10, estimated_s=1.0)
        planner.admit(
            workflow_spec(large, id="a" * 16, accepted_at_s=2000.0), False
        )
        (large_start,) = plan_and_take_starts(planner)
        self.assertNotEqual(first.worker, large_start.worker)

        self._end_run(planner, 1, first, [second])
        planner.admit(
            workflow_spec(small, id="b" * 16, accepted_at_s=2000.0), False
        )
        self.assertEqual([], plan_and_take_starts(planner))

        self._end_run(planner, 2, second, [])
        (start,) = plan_and_take_starts(planner)
        self.assertEqual("a" * 16, start.ref.workflow)

    @staticmethod
    def _end_run(
        planner: Planner,
        number: int,
        ended: StartOrder,
        others: list[StartOrder],
    ) -> None:
        end = EndedRun(number, ended.ref, ended.run, RunEnd.DONE, "")
        planner.handle_report(
            report(ended.worker.id, [running(o) for o in others], [end]), 0.0
        )


class LogTest(TestCase):
    """Log lines that show why a workflow was late."""

    def test_step_is_logged_once_with_its_waits(self) -> None:
        """Guards against logs that do not show how long a step waited."""
        log = RecordingLog()
        planner = new_planner(log=log)
        planner.update_worker_list([worker_record("w1")])
        planner.handle_report(report("w1"), 0.0)
        step = StepSpec(5, cpu_millis=1000, memory_mb=1, estimated_s=4.0)
        planner.admit(workflow_spec(step), False)
        planner.plan(0.0, 1000.5)
        start, *others = planner.take_changes().orders
        self.assertNotIn("step.placed", log.fields)

        runs = [running(order) for order in others]
        end = EndedRun(1, start.ref, start.run, RunEnd.DONE, "")
        planner.handle_report(report("w1", runs, [end]), 1.0)
        for wall_now in (1001.5, 1002.5):
            planner.plan(1.0, wall_now)
        steps = [line for line in log.events if line[0] == "step.placed"]
        self.assertEqual([("step.placed", "5c0e7a21d94b36f8.0.0")], steps)
        fields = log.fields["step.placed"]
        self.assertEqual(
            (5, 0.5, 1.5, "started"),
            tuple(fields[n] for n in ("tasks", "first_s", "last_s", "stage")),
        )

    def test_settled_workflow_is_logged_with_its_runs(self) -> None:
        """Guards against logs that do not show why a workflow took long."""
        log = RecordingLog()
        planner = new_planner(log=log)
        planner.update_worker_list([worker_record("w1"), worker_record("w2")])
        for name in ("w1", "w2"):
            planner.handle_report(report(name), 0.0)
        planner.admit(workflow_spec(_ONE_TASK), False)
        for run_end in (RunEnd.FAILED, RunEnd.DONE):
            (start,) = plan_and_take_starts(planner)
            end = EndedRun(1, start.ref, start.run, run_end, "")
            planner.handle_report(report(start.worker.id, [], [end]), 0.0)
        planner.take_changes()
        self.assertEqual(
            {
                "state": WorkflowState.DONE,
                "tasks": 1,
                "done": 1,
                "failed": 1,
                "stopped": 0,
                "lost": 0,
            },
            log.fields["workflow.settled"],
        )
