"""Tests of the planner's log lines."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.fleet.worker_report import EndedRun
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.workflow_state import WorkflowState
from tests.planner.planners import new_planner
from tests.planner.planners import ONE_TASK
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import RecordingLog
from tests.planner.planners import report
from tests.planner.planners import running
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec


class LogTest(TestCase):
    """Log lines that show why a workflow was late."""

    def test_step_is_logged_once_with_its_waits(self) -> None:
        """Guards against logs that do not show how long a step waited."""
        log = RecordingLog()
        planner = new_planner(log=log)
        planner.update_worker_list([worker_record("w1")], 0.0)
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
        planner.update_worker_list(
            [worker_record("w1"), worker_record("w2")], 0.0
        )
        for name in ("w1", "w2"):
            planner.handle_report(report(name), 0.0)
        planner.admit(workflow_spec(ONE_TASK), False)
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
