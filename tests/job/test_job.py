"""Tests of the state transitions of a job."""

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
    """Attempts, failures, cancellation and urgency."""

    def test_attempt_numbers_increase(self) -> None:
        """Guards against two attempts with the same number."""
        first = _queued().assign("w1", 1)
        second = first.requeue(None).assign("w2", 4)
        self.assertEqual((1, 2), (first.attempt, second.attempt))
        self.assertFalse(second.is_current_attempt("w1", 1))
        self.assertTrue(second.is_current_attempt("w2", 2))

    def test_assigned_job_is_not_assigned_again(self) -> None:
        """Guards against a job that runs on two workers."""
        job = _queued().assign("w1", 1)
        with ExpectedException(BrokenInvariant):
            job.assign("w2", 1)

    def test_parked_after_max_attempts(self) -> None:
        """Guards against endless retries of a job that always fails."""
        job = _queued().assign("w1", 1).fail(2, "no input")
        self.assertEqual(JobState.QUEUED, job.state)
        job = job.assign("w2", 1).fail(2, "no input")
        self.assertEqual(JobState.PARKED, job.state)
        self.assertEqual("no input", job.reason)

    def test_job_cancelled_while_running_is_not_requeued(self) -> None:
        """Guards against a job that runs again after its cancellation."""
        job = _queued().assign("w1", 1).cancel()
        self.assertEqual(JobState.CANCELLING, job.state)
        self.assertEqual(JobState.CANCELLED, job.requeue(None).state)

    def test_checkpoint_survives_requeue(self) -> None:
        """Guards against lost progress after an eviction."""
        job = _queued().assign("w1", 1).requeue("objects/aa-1")
        self.assertEqual("objects/aa-1", job.assign("w2", 1).checkpoint)

    def test_finished_standing_replica_is_requeued(self) -> None:
        """Guards against a standing service that stops after one run."""
        job = _queued(standing=True).assign("w1", 1).finish()
        self.assertEqual(JobState.QUEUED, job.state)

    def test_urgency_reaches_maximum_at_due_time(self) -> None:
        """Guards against starvation of jobs with a low declared urgency."""
        job = _queued()
        self.assertEqual(20.0, job.urgency(20, 100.0))
        self.assertEqual(60.0, job.urgency(20, 125.0))
        self.assertEqual(100.0, job.urgency(20, 900.0))
