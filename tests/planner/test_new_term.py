"""Tests of the planner at the start of a leader's term."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest.mock import patch

from testtools import TestCase

from carawaystep.fleet.worker_report import EndedRun
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.workflow import Workflow
from carawaystep.workflow.workflow_state import WorkflowState
from tests.planner.planners import LIMITS
from tests.planner.planners import new_planner
from tests.planner.planners import no_contacts
from tests.planner.planners import ONE_TASK
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import planner_with_workers
from tests.planner.planners import report
from tests.planner.planners import running
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from carawaystep.fleet.order import StartOrder
    from carawaystep.planner.planner import Planner


def _new_term_after_a_start() -> tuple[Planner, StartOrder]:
    """Return a planner that restored a run which the term before started.

    :returns: the planner at 10 s and the start, which worker w1 received
    """
    first = planner_with_workers("w1")
    spec = workflow_spec(ONE_TASK)
    first.admit(spec, False)
    (start,) = plan_and_take_starts(first)
    planner = new_planner(10.0)
    planner.restore(spec, first.workflows[spec.id].record())
    return planner, start


class StoredRunsTest(TestCase):
    """Runs that an earlier leader started."""

    def test_new_term_waits_for_the_worker_of_a_stored_run(self) -> None:
        """Guards against a second run beside one of an earlier leader."""
        planner, start = _new_term_after_a_start()
        planner.update_worker_list(
            [worker_record("w1"), worker_record("w2")], 0.0
        )
        planner.handle_report(report("w2"), 10.0)
        self.assertEqual([], plan_and_take_starts(planner, 10.0))
        planner.handle_report(report("w1", [running(start)]), 10.1)
        self.assertEqual([], plan_and_take_starts(planner, 10.1))

    def test_end_on_a_later_lifetime_is_not_followed_by_a_run(self) -> None:
        """Guards against a second run of a task that is done.

        A start that is on its way while its worker restarts is executed by
        the later lifetime, before the leader changes.
        """
        planner, start = _new_term_after_a_start()
        planner.update_worker_list(
            [worker_record("w1", started_at_ms=2), worker_record("w2")], 0.0
        )
        planner.handle_report(report("w2"), 10.0)
        end = EndedRun(1, start.ref, start.run, RunEnd.DONE, "")
        planner.handle_report(report("w1", [], [end], started_at_ms=2), 10.1)
        self.assertEqual([], plan_and_take_starts(planner, 10.1))
        self.assertEqual(WorkflowState.DONE, planner.state(start.ref.workflow))

    def test_run_on_a_later_lifetime_goes_on(self) -> None:
        """Guards against a second run beside one on a restarted worker."""
        planner, start = _new_term_after_a_start()
        planner.update_worker_list([worker_record("w1", started_at_ms=2)], 0.0)
        listed = report("w1", [running(start)], started_at_ms=2)
        planner.handle_report(listed, 10.1)
        self.assertEqual([], plan_and_take_starts(planner, 10.1))
        self.assertEqual([], planner.take_immediate_orders())
        end = EndedRun(1, start.ref, start.run, RunEnd.DONE, "")
        planner.handle_report(report("w1", [], [end], started_at_ms=2), 10.2)
        self.assertEqual(WorkflowState.DONE, planner.state(start.ref.workflow))

    def test_new_term_requeues_a_run_that_its_worker_does_not_list(
        self,
    ) -> None:
        """Guards against waiting for a start that the new token prevents."""
        planner, _ = _new_term_after_a_start()
        planner.update_worker_list([worker_record("w1")], 0.0)
        planner.handle_report(report("w1"), 10.0)
        self.assertEqual(2, plan_and_take_starts(planner, 10.0)[0].run)

    def test_truncated_ends_do_not_show_that_a_run_never_started(
        self,
    ) -> None:
        """Guards against a second run of a task whose end is not listed yet.

        A worker lists a limited number of ends at a time.
        """
        planner, start = _new_term_after_a_start()
        planner.update_worker_list([worker_record("w1")], 0.0)
        planner.handle_report(report("w1", ends_truncated=True), 10.0)
        self.assertEqual([], plan_and_take_starts(planner, 10.0))
        end = EndedRun(501, start.ref, start.run, RunEnd.DONE, "")
        planner.handle_report(report("w1", [], [end]), 10.1)
        self.assertEqual([], plan_and_take_starts(planner, 10.1))
        self.assertEqual(WorkflowState.DONE, planner.state(start.ref.workflow))

    def test_run_is_requeued_by_the_first_complete_report(self) -> None:
        """Guards against waiting for a run after truncated reports."""
        planner, _ = _new_term_after_a_start()
        planner.update_worker_list([worker_record("w1")], 0.0)
        planner.handle_report(report("w1", ends_truncated=True), 10.0)
        planner.handle_report(report("w1"), 10.1)
        self.assertEqual(2, plan_and_take_starts(planner, 10.1)[0].run)

    def test_run_of_this_term_outlasts_the_first_complete_report(
        self,
    ) -> None:
        """Guards against losing a start that a late report does not list."""
        planner = new_planner()
        planner.update_worker_list([worker_record("w1")], 0.0)
        planner.handle_report(report("w1", ends_truncated=True), 0.0)
        planner.admit(workflow_spec(ONE_TASK), False)
        self.assertEqual(1, len(plan_and_take_starts(planner)))
        planner.handle_report(report("w1"), 0.1)
        self.assertEqual([], plan_and_take_starts(planner, 0.1))

    def test_stored_run_on_a_vanished_worker_is_placed_after_the_limit(
        self,
    ) -> None:
        """Guards against waiting forever for a removed worker."""
        planner, _ = _new_term_after_a_start()
        planner.update_worker_list([worker_record("w2")], 0.0)
        later = 10.1 + LIMITS.takeover_lost_after_s
        planner.handle_report(report("w2"), later)
        self.assertEqual([], plan_and_take_starts(planner, later))
        planner.requeue_lost_runs(later, no_contacts)
        self.assertEqual(1, len(plan_and_take_starts(planner, later)))


class RestoreTest(TestCase):
    """Stored workflows at the start of a term."""

    def test_first_list_of_workers_looks_up_each_workflow_once(self) -> None:
        """Guards against a leader that is replaced while it starts.

        Its work grew with the product of workers and runs, and kept its
        heartbeats back for longer than members wait.
        """
        names = [f"w{number}" for number in range(30)]
        first = planner_with_workers(*names)
        specs = [workflow_spec(ONE_TASK, id=f"{n:016x}") for n in range(20)]
        for spec in specs:
            first.admit(spec, False)
        plan_and_take_starts(first)
        planner = new_planner(10.0)
        for spec in specs:
            planner.restore(spec, first.workflows[spec.id].record())
        placed_tasks = Workflow.placed_tasks
        with patch.object(
            Workflow, "placed_tasks", autospec=True, side_effect=placed_tasks
        ) as looked_up:
            planner.update_worker_list([worker_record(n) for n in names], 10.0)
        self.assertEqual(len(specs), looked_up.call_count)
        runs = [len(worker.runs) for worker in planner.workers.values()]
        self.assertEqual(len(specs), sum(runs))

    def test_settled_workflow_is_known(self) -> None:
        """Guards against a repeated submission that runs again."""
        planner = new_planner()
        planner.restore_final("c" * 16, WorkflowState.DONE)
        self.assertFalse(planner.admit(workflow_spec(id="c" * 16), False))

    def test_cancelled_workflow_without_runs_settles_at_once(self) -> None:
        """Guards against a row that is never removed."""
        spec = workflow_spec(ONE_TASK)
        workflow = Workflow(spec)
        workflow.cancel()
        planner = new_planner()
        planner.restore(spec, workflow.record())
        changes = planner.take_changes()
        self.assertEqual({spec.id: WorkflowState.CANCELLED}, changes.settled)
