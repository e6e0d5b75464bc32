"""Tests of tasks that failed on all workers that can take them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.worker_report import EndedRun
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.step_spec import StepSpec
from tests.planner.planners import new_planner
from tests.planner.planners import report
from tests.planner.planners import running
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from carawaystep.fleet.worker_record import WorkerRecord
    from carawaystep.fleet.worker_report import ReportedRun

_STEP_S = 0.25


class FailedTaskTest(TestCase):
    """Retries of tasks that only some workers can take."""

    def _start(self, records: list[WorkerRecord]) -> None:
        """Create a planner with idle workers that report regularly.

        ``failing`` has the workers on which each run fails at once.
        """
        self.planner = new_planner()
        self.planner.update_worker_list(records, 0.0)
        self.names = [record.key.id for record in records]
        self.failing = set(self.names)
        self.now = 0.0
        self.starts: list[StartOrder] = []
        self._runs: dict[str, list[ReportedRun]] = {}
        self._end_counts = dict.fromkeys(self.names, 0)
        self._failed: dict[str, list[StartOrder]] = {}

    def _advance(self, seconds: float) -> list[StartOrder]:
        """Report and plan for a time, and return the starts."""
        until = self.now + seconds
        began = len(self.starts)
        while self.now < until:
            for name in self.names:
                self._report(name)
            self.planner.plan(self.now, 2000.0 + self.now)
            for request in self.planner.take_advice_requests():
                self.planner.handle_advice(request, self.tickets, self.now)
            for order in self.planner.take_changes().orders:
                if isinstance(order, StartOrder):
                    self._execute(order)
            self.now += _STEP_S
        return self.starts[began:]

    def _execute(self, order: StartOrder) -> None:
        name = order.worker.id
        self.starts.append(order)
        if name in self.failing:
            self._failed.setdefault(name, []).append(order)
        else:
            self._runs.setdefault(name, []).append(running(order))

    def _report(self, name: str) -> None:
        ends = []
        for order in self._failed.pop(name, ()):
            self._end_counts[name] += 1
            number = self._end_counts[name]
            ends.append(
                EndedRun(number, order.ref, order.run, RunEnd.FAILED, "")
            )
        self.planner.handle_report(
            report(name, self._runs.get(name, []), ends), self.now
        )

    def _admit(self, step: StepSpec, **changes: object) -> None:
        values: dict[str, object] = {"max_attempts": 3, **changes}
        self.planner.admit(workflow_spec(step, **values), False)

    def test_task_that_failed_on_all_workers_with_its_label(self) -> None:
        """Guards against a task that waits for workers without its label."""
        self._start(_labelled("w1", "w2") + _plain("w3", "w4"))
        self._admit(StepSpec(1, cpu_millis=1000, label="b"))
        self._advance(0.5)
        self.failing.clear()
        (third,) = self._advance(3.0)
        self.assertIn(third.worker.id, ("w1", "w2"))

    def test_task_that_failed_on_the_only_worker_with_its_label(self) -> None:
        """Guards against a short fault that uses up all attempts."""
        self._start(_labelled("w1") + _plain("w2", "w3"))
        self._admit(StepSpec(1, cpu_millis=1000, label="b"))
        self.assertEqual(1, len(self._advance(1.5)))
        self.failing.clear()
        self.assertEqual(1, len(self._advance(1.5)))

    def test_task_that_only_large_workers_can_take(self) -> None:
        """Guards against a task that waits for workers that are too small."""
        large = [worker_record(name, cpu_millis=8000) for name in ("w1", "w2")]
        self._start(large + _plain("w3", "w4"))
        self._admit(StepSpec(1, cpu_millis=6000))
        self._advance(0.5)
        self.failing.clear()
        self.assertEqual(1, len(self._advance(3.0)))

    def test_task_whose_other_workers_are_denied(self) -> None:
        """Guards against a task that waits for workers it never gets."""
        self._start(_plain("w1", "w2", "w3"))
        self.tickets = {"w2": "t"}
        self._admit(StepSpec(1, cpu_millis=1000), permit_s=60.0)
        self._advance(1.0)
        self.failing.clear()
        self.assertEqual(1, len(self._advance(3.0)))

    def test_task_whose_other_workers_are_full_for_long(self) -> None:
        """Guards against a task that waits for long-running tasks to end."""
        self._start(_plain("w1", "w2"))
        self.failing = {"w2"}
        lasting = StepSpec(1, cpu_millis=4000, long_running=True)
        self._admit(lasting, id="a" * 16)
        self._advance(0.25)
        self._admit(StepSpec(1, cpu_millis=1000), id="b" * 16)
        self._advance(0.75)
        self.failing.clear()
        self.assertEqual(
            ["w2"], [start.worker.id for start in self._advance(3.0)]
        )

    def test_task_does_not_wait_long_for_another_worker(self) -> None:
        """Guards against a task that waits for a run that never ends."""
        self._start(_plain("w1", "w2"))
        self.failing = {"w2"}
        self._admit(StepSpec(1, cpu_millis=4000), id="a" * 16)
        self._advance(0.25)
        self._admit(StepSpec(1, cpu_millis=1000), id="b" * 16)
        self._advance(0.75)
        self.failing.clear()
        self.assertEqual([], self._advance(6.0))
        self.assertEqual(1, len(self._advance(3.0)))

    def test_failed_task_does_not_hold_up_the_rest_of_its_step(self) -> None:
        """Guards against tasks that wait behind one that finds no worker."""
        self._start(_plain("w1", "w2"))
        self.failing = {"w1"}
        step = StepSpec(3, cpu_millis=2500, memory_mb=1)
        self._admit(step)
        first, second = self._advance(0.25)
        self.failing.clear()
        failed = first if first.worker.id == "w1" else second
        (third,) = self._advance(1.5)
        self.assertEqual("w1", third.worker.id)
        self.assertNotEqual(failed.ref, third.ref)

    def test_failed_task_with_a_ticket_does_not_hold_up_the_rest(self) -> None:
        """Guards against tasks that wait behind one that avoids a worker."""
        self._start(_plain("w1", "w2"))
        self.tickets = {"w1": "t"}
        self._admit(StepSpec(2, cpu_millis=2500, memory_mb=1), permit_s=60.0)
        (first,) = self._advance(0.5)
        self.failing.clear()
        (second,) = self._advance(0.5)
        self.assertNotEqual(first.ref, second.ref)

    def test_gang_that_failed_on_all_workers_with_its_label(self) -> None:
        """Guards against a gang whose tasks avoid each other's worker."""
        self._start(_labelled("w1", "w2") + _plain("w3", "w4"))
        step = StepSpec(
            2, cpu_millis=1000, label="b", gang=True, max_per_worker=1
        )
        self._admit(step)
        self._advance(0.5)
        self.failing.clear()
        self.assertEqual(2, len(self._advance(4.0)))

    def test_no_run_is_stopped_on_a_worker_that_the_task_avoids(self) -> None:
        """Guards against less urgent runs that are stopped for nothing."""
        self._start(_labelled("w1") + _plain("w2"))
        self._admit(StepSpec(1, cpu_millis=3000, label="b"), id="b" * 16)
        self._advance(0.25)
        self.failing.clear()
        less_urgent = StepSpec(1, cpu_millis=3000, label="b")
        self._admit(less_urgent, id="a" * 16, priority=1)
        self.assertEqual(1, len(self._advance(1.0)))
        self.assertEqual([], self.planner.take_immediate_orders())
        self._advance(1.5)
        self.assertEqual(1, len(self.planner.take_immediate_orders()))


def _labelled(*names: str) -> list[WorkerRecord]:
    """Return workers with a label that others lack."""
    return [
        replace(worker_record(name), labels=frozenset({"b", "rack"}))
        for name in names
    ]


def _plain(*names: str) -> list[WorkerRecord]:
    return [worker_record(name) for name in names]
