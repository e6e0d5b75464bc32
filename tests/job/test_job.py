"""Tests of the rules of a job."""

from __future__ import annotations

from testtools import ExpectedException
from testtools import TestCase

from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.job.job import Job
from carawaystep.job.job_state import JobState


def _queued(**changes: object) -> Job:
    values: dict[str, object] = {
        "id": "aa-1",
        "service": "recheck",
        "version": 1,
        "state": JobState.QUEUED,
        "submitted_at": 100.0,
        "due_s": 50.0,
        "run_s": 5.0,
    }
    return Job(**{**values, **changes})  # type: ignore[arg-type]


class JobTest(TestCase):
    """Attempts, failures and cancellations."""

    def test_attempts_rise(self) -> None:
        """Guards against two attempts with one number."""
        job = _queued().assign("w1", 1)
        again = job.requeue(None).assign("w2", 4)
        self.assertEqual((1, 2), (job.attempt, again.attempt))
        self.assertFalse(again.is_attempt("w1", 1))
        self.assertTrue(again.is_attempt("w2", 2))

    def test_assigned_job_is_not_assigned_again(self) -> None:
        """Guards against running in two places."""
        job = _queued().assign("w1", 1)
        with ExpectedException(BrokenInvariant):
            job.assign("w2", 1)

    def test_parked_after_max_attempts(self) -> None:
        """Guards against a job that can never run being tried for ever."""
        job = _queued().assign("w1", 1).fail(2, "no input")
        self.assertEqual(JobState.QUEUED, job.state)
        job = job.assign("w2", 1).fail(2, "no input")
        self.assertEqual(JobState.PARKED, job.state)
        self.assertEqual("no input", job.reason)

    def test_cancelled_while_running(self) -> None:
        """Guards against a cancelled job being queued again."""
        job = _queued().assign("w1", 1).cancel()
        self.assertEqual(JobState.CANCELLING, job.state)
        self.assertEqual(JobState.CANCELLED, job.requeue(None).state)

    def test_checkpoint_is_kept(self) -> None:
        """Guards against work lost by an eviction."""
        job = _queued().assign("w1", 1).requeue("objects/aa-1")
        self.assertEqual("objects/aa-1", job.assign("w2", 1).checkpoint)

    def test_standing_replica_runs_again(self) -> None:
        """Guards against a monitor that stops after one run."""
        job = _queued(standing=True).assign("w1", 1).finish()
        self.assertEqual(JobState.QUEUED, job.state)

    def test_urgency_reaches_the_top_at_the_due_time(self) -> None:
        """Guards against starvation of a recheck."""
        job = _queued()
        self.assertEqual(20.0, job.urgency(20, 100.0))
        self.assertEqual(60.0, job.urgency(20, 125.0))
        self.assertEqual(100.0, job.urgency(20, 900.0))
