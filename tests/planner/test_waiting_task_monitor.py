"""Tests of the log lines about long-running tasks that wait."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.fleet.tracked_worker import TrackedWorker
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.planner.waiting_task_monitor import WaitingTaskMonitor
from carawaystep.planner.workflow_registry import WorkflowRegistry
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.task_ref import TaskRef
from tests.planner.planners import RecordingLog
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

_WALL_NOW = 2000.0
_STANDING = StepSpec(1, cpu_millis=3000, memory_mb=10, long_running=True)


class WaitingTaskMonitorTest(TestCase):
    """Waits of long-running tasks."""

    def setUp(self) -> None:
        """Create a monitor of an empty registry and a worker."""
        super().setUp()
        self._registry = WorkflowRegistry()
        self._log = RecordingLog()
        self._monitor = WaitingTaskMonitor(self._registry, self._log)
        self._usable = [TrackedWorker(worker_record("w1"))]

    def test_a_long_wait_is_logged_once(self) -> None:
        """Guards against waits that no log shows, and against repetition."""
        workflow = self._registry.add(workflow_spec(_STANDING))
        self._check_until(0.0, 3.0)
        self.assertEqual([], self._log.events)
        self._check_until(3.0, 8.0)
        self.assertEqual(
            [("task.waiting", f"{workflow.id}.0.0.0")], self._log.events
        )

    def test_a_run_between_two_checks_begins_a_new_wait(self) -> None:
        """Guards against waits that are added up across runs."""
        workflow = self._registry.add(workflow_spec(_STANDING))
        ref = TaskRef(workflow.id, 0, 0, 0)
        self._check_until(0.0, 2.5)
        run = workflow.place(ref, WorkerKey("w1", 1))
        workflow.end_run(ref, run, RunEnd.FAILED, "", 0.0)
        self._check_until(2.6, 5.5)
        self.assertEqual([], self._log.events)

    def test_other_tasks_are_not_logged(self) -> None:
        """Guards against a line for each task of an overloaded queue."""
        self._registry.add(workflow_spec(StepSpec(50, cpu_millis=3000)))
        self._check_until(0.0, 8.0)
        self.assertEqual([], self._log.events)

    def _check_until(self, begin: float, end: float) -> None:
        """Check every tenth of a second, the end included."""
        for number in range(round((end - begin) * 10) + 1):
            self._monitor.check(self._usable, begin + number / 10, _WALL_NOW)
