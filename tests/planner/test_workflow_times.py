"""Tests of the line that says where the time of a workflow went."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.worker_report import EndedRun
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.step_spec import StepSpec
from tests.planner.planners import new_planner
from tests.planner.planners import RecordingLog
from tests.planner.planners import report
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

_WALL_S = 1000.0


class WorkflowTimesTest(TestCase):
    """Times of workflows on one worker of four cores."""

    def setUp(self) -> None:
        """Create a planner whose worker has reported."""
        super().setUp()
        self._log = RecordingLog()
        self._planner = new_planner(log=self._log)
        self._planner.update_worker_list([worker_record("w1")], 0.0)
        self._planner.handle_report(report("w1"), 0.0)

    def test_parts_of_a_step_sum_up_to_the_whole(self) -> None:
        """Guards against a late workflow whose log shows no cause."""
        step = StepSpec(1, cpu_millis=3000, memory_mb=1, estimated_s=0.5)
        blocker, waiting = (
            workflow_spec(step, id=name * 16, accepted_at_s=_WALL_S)
            for name in "ab"
        )
        self._planner.admit(blocker, False)
        first = self._start(0.0)
        self._planner.admit(waiting, False)
        self._start(0.25)
        self._start(0.75)
        self._end(first, 1.0)
        second = self._start(1.5)
        self._planner.record_sent(second[0], 1.75)
        self._planner.handle_order_outcome(second[0], OrderOutcome.DONE, 2.0)
        self._end(second, 3.0)
        self._publish(3.25)
        self.assertEqual(
            {
                "admission_s": 0.25,
                "wait_s": 1.25,
                "store_s": 0.25,
                "start_s": 0.25,
                "run_s": 1.0,
                "declared_s": 0.5,
                "publish_s": 0.25,
                "total_s": 3.25,
                "limit": "cpu",
                "wait_cpu_s": 1.25,
            },
            self._fields(
                "admission_s",
                "wait_s",
                "store_s",
                "start_s",
                "run_s",
                "declared_s",
                "publish_s",
                "total_s",
                "limit",
                "wait_cpu_s",
            ),
        )

    def test_limit_that_refused_a_task_is_named(self) -> None:
        """Guards against a wait for memory that is taken for one for CPU."""
        steps = {
            "label": StepSpec(1, cpu_millis=1, label="none"),
            "memory": StepSpec(1, cpu_millis=1, memory_mb=10_000),
            "accelerators": StepSpec(1, cpu_millis=1, accelerators=1),
            "max_per_worker": StepSpec(2, cpu_millis=1, max_per_worker=1),
        }
        for number, (limit, step) in enumerate(steps.items()):
            spec = workflow_spec(
                step, id=f"{number:016x}", accepted_at_s=_WALL_S
            )
            self._planner.admit(spec, False)
            starts = self._start(0.0) + self._start(0.5)
            self._planner.cancel(spec.id)
            self._end(starts, 1.0)
            self._publish(1.0)
            self.assertEqual({"limit": limit}, self._fields("limit"))

    def _start(self, now: float) -> list[StartOrder]:
        self._planner.plan(now, _WALL_S + now)
        orders = self._planner.take_changes().orders
        return [order for order in orders if isinstance(order, StartOrder)]

    def _end(self, starts: list[StartOrder], now: float) -> None:
        ended = [
            EndedRun(number, order.ref, order.run, RunEnd.DONE, "")
            for number, order in enumerate(starts, 1)
        ]
        self._planner.handle_report(report("w1", [], ended), now)

    def _publish(self, now: float) -> None:
        self._planner.record_published(self._planner.take_changes(), now)

    def _fields(self, *names: str) -> dict[str, str | int | float]:
        fields = self._log.fields["workflow.timed"]
        return {name: fields[name] for name in names}
