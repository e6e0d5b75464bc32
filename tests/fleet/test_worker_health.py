"""Tests of the suspension of workers on which runs fail."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.fleet.worker_health import WorkerHealth


class WorkerHealthTest(TestCase):
    """Failures of runs of several workflows."""

    def test_failures_of_two_workflows_suspend(self) -> None:
        """Guards against a faulty worker that uses up attempts."""
        health = WorkerHealth()
        self.assertFalse(health.record_failure("a", 1.0))
        self.assertTrue(health.record_failure("b", 2.0))
        self.assertTrue(health.is_suspended(4.9))
        self.assertFalse(health.is_suspended(5.0))

    def test_failures_far_apart_do_not_suspend(self) -> None:
        """Guards against failures that are held against a worker forever."""
        health = WorkerHealth()
        health.record_failure("a", 1.0)
        self.assertFalse(health.record_failure("b", 40.0))

    def test_suspensions_stay_below_the_limit(self) -> None:
        """Guards against a task that is away longer than callers accept.

        Long-running tasks may be away for 9 s.
        """
        health = WorkerHealth()
        now = 0.0
        for number in range(8):
            health.record_failure(f"workflow-{number}", now)
            now += 7.0
            self.assertFalse(health.is_suspended(now))
