"""Tests of workers that started again under their ids."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.planner.earlier_leases import EarlierLeases
from carawaystep.planner.worker_registry import WorkerRegistry
from carawaystep.planner.workflow_registry import WorkflowRegistry
from tests.planner.planners import LIMITS
from tests.planner.planners import no_contacts
from tests.planner.planners import ONE_TASK
from tests.planner.planners import plan_and_take_starts
from tests.planner.planners import planner_with_workers
from tests.planner.planners import report
from tests.planner.planners import running
from tests.planner.planners import worker_record
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from carawaystep.workflow.step_spec import StepSpec

_LIMITS = replace(LIMITS, longest_lease_s=10.0)
_FIRST = WorkerKey("w1", 1)
_SECOND = WorkerKey("w1", 2)


class RestartedWorkerTest(TestCase):
    """Second lifetime of a worker that accepts leases of 10 s.

    It is known from 100 s on, long after the term began.
    """

    def setUp(self) -> None:
        """List the first lifetime, then the second."""
        super().setUp()
        self.workers = WorkerRegistry(
            WorkflowRegistry(),
            _LIMITS,
            EarlierLeases(_LIMITS, 0.0),
            EvacuatedZones(in_force=False),
            0.0,
        )
        self.workers.update_list([worker_record("w1")], 50.0)
        self._report(_FIRST, 99.0)
        records = [worker_record("w1", started_at_ms=2)]
        self.workers.update_list(records, 100.0)

    def _report(self, key: WorkerKey, now: float) -> None:
        self.workers.record_fenced(key, now)
        worker = self.workers.get(key)
        assert worker is not None
        worker.record_report(now, leaving=False)

    def _is_usable(self, now: float) -> bool:
        return bool(self.workers.usable(now))

    def _is_without_lease(self, now: float) -> bool:
        return any(
            worker.key == _SECOND
            for worker in self.workers.without_lease(now, no_contacts)
        )

    def test_new_work_waits_until_foreign_leases_do_not_matter(self) -> None:
        """Guards against a run whose lease lasts longer than is known.

        A start for the first lifetime may have given the second one a lease
        of 10 s, where one from the start of a run is taken to last 6 s.
        """
        self.assertFalse(self._is_usable(100.0))
        self._report(_SECOND, 100.5)
        self._report(_SECOND, 104.0)
        self.assertFalse(self._is_usable(104.0))
        self._report(_SECOND, 104.5)
        self.assertTrue(self._is_usable(104.5))

    def test_silent_worker_may_hold_a_foreign_lease(self) -> None:
        """Guards against a second run beside one under a foreign lease."""
        self._report(_SECOND, 100.5)
        self.assertFalse(self._is_without_lease(110.4))
        self.assertTrue(self._is_without_lease(110.6))

    def test_silence_before_the_first_call_proves_little(self) -> None:
        """Guards against a second run before late starts are shut out."""
        self.assertFalse(self._is_without_lease(111.9))
        self.assertTrue(self._is_without_lease(112.1))

    def test_worker_that_comes_back_into_the_list_has_settled(self) -> None:
        """Guards against idle workers after an outage of the store."""
        self._report(_SECOND, 100.5)
        record = worker_record("w1", started_at_ms=2)
        self.workers.update_list([], 120.0)
        self.workers.update_list([record], 121.0)
        self._report(_SECOND, 121.0)
        self.assertTrue(self._is_usable(121.0))


class UnfencedReportTest(TestCase):
    """Reports of a lifetime that still accepts calls to the one before."""

    def test_runs_are_not_started_elsewhere_before_the_fence(self) -> None:
        """Guards against a late start beside the one that replaced it."""
        planner = planner_with_workers("w1", "w2")
        planner.admit(workflow_spec(ONE_TASK), False)
        (start,) = plan_and_take_starts(planner)
        name = start.worker.id
        planner.handle_report(report(name, [running(start)]), 0.1)
        records = [worker_record("w1"), worker_record("w2")]
        records[name == "w2"] = worker_record(name, started_at_ms=2)
        planner.update_worker_list(records, 0.5)
        planner.handle_report(report(name, started_at_ms=2), 0.6, fenced=False)
        self.assertEqual([], plan_and_take_starts(planner, 0.6))
        planner.handle_report(report(name, started_at_ms=2), 0.7)
        self.assertEqual(1, len(plan_and_take_starts(planner, 0.7)))


class UnseenRestartTest(TestCase):
    """A silent worker whose restart no report or row has shown."""

    def _lost_at(self, step: StepSpec, reported: bool) -> float:
        """Return when a run on a silent worker is given up, in seconds.

        The worker was heard last at 0 s.
        """
        planner = planner_with_workers("w1", limits=_LIMITS)
        planner.admit(workflow_spec(step), False)
        (start,) = plan_and_take_starts(planner)
        listed = [running(start)] if reported else []
        planner.handle_report(report("w1", listed), 0.0)
        now = 0.0
        while planner.workers[_FIRST].runs:
            now += 0.1
            planner.requeue_lost_runs(now, no_contacts)
        return now

    def test_unreported_run_may_be_on_an_unseen_lifetime(self) -> None:
        """Guards against a second run beside one under a foreign lease.

        The worker crashed after its last report, and a start that was meant
        for the crashed lifetime gave the next one the longest lease.
        """
        self.assertGreater(self._lost_at(ONE_TASK, reported=False), 12.0)

    def test_reported_run_ends_with_its_lease(self) -> None:
        """Guards against tasks that wait longer than any lease lasts."""
        self.assertLess(self._lost_at(ONE_TASK, reported=True), 8.2)

    def test_long_running_task_is_back_soon(self) -> None:
        """Guards against long-running tasks that are away for over 12 s."""
        step = replace(ONE_TASK, long_running=True)
        self.assertLess(self._lost_at(step, reported=False), 8.2)
