"""Tests of a stand-in worker without its HTTP API."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.settings.standin_worker_settings import StandinServiceSettings
from carawaystep.settings.standin_worker_settings import StandinWorkerSettings
from carawaystep.standin.faults import Faults
from carawaystep.standin.worker.refusal import EpochRefused
from carawaystep.standin.worker.refusal import InsufficientCapacity
from carawaystep.standin.worker.refusal import LeaseExpired
from carawaystep.standin.worker.refusal import UnknownTask
from carawaystep.standin.worker.refusal import WorkerLeaving
from carawaystep.standin.worker.run_time_model import RunTimeModel
from carawaystep.standin.worker.standin_worker import StandinWorker
from carawaystep.worker.execution_end import ExecutionEnd
from carawaystep.worker.resources import Resources
from carawaystep.worker.worker_request import WorkerRequest
from carawaystep.worker.worker_task import WorkerTask

if TYPE_CHECKING:
    from carawaystep.worker.ended_task import EndedTask

_TASK = WorkerTask("j1", 1, "recheck", Resources(1.0, 100), 100.0, 30.0, None)
_LONG_LEASE = replace(_TASK, lease_until_s=1000.0)


def _worker(services: Any = None, **settings: Any) -> StandinWorker:
    listen = {"host": "127.0.0.1", "port": 1}
    worker = StandinWorker(
        StandinWorkerSettings.model_validate(
            {"name": "w1", "http": listen, **settings}
        ),
        RunTimeModel(services or {}, Random(7)),
    )
    worker.fence(1, 0.0)
    return worker


def _request(name: str, **needs: Any) -> WorkerRequest:
    return WorkerRequest(name, "bookings", None, Resources(**needs), b"")


class AdmissionTest(TestCase):
    """Admission by epoch, limits and leaving."""

    def test_lower_epochs_are_refused(self) -> None:
        """Guards against a former owner whose calls still take effect."""
        worker = _worker()
        worker.fence(4, 0.0)
        worker.start_task(_TASK, 4, 0.0)
        worker.fence(5, 1.0)
        attempts = [("j1", 1)]
        for outcome in (
            worker.fence(4, 2.0),
            worker.start_request(_request("r1"), 4, 2.0),
            worker.start_task(replace(_TASK, id="j2"), 4, 2.0),
            worker.start_task(_TASK, 4, 2.0),
            worker.renew_leases(attempts, 30.0, 4, 2.0),
            worker.checkpoint_task("j1", 1, 4, 2.0),
            worker.throttle_task("j1", 1, 4, 2.0),
            worker.stop_task("j1", 1, 4, 2.0),
        ):
            self.assertIsInstance(outcome.unwrap_err(), EpochRefused)
        self.assertEqual(1, len(worker.ledger.executions))
        again = worker.fence(5, 3.0).unwrap()
        reservations = [
            (run.id, run.attempt, run.needs) for run in again.running
        ]
        self.assertEqual([("j1", 1, _TASK.needs)], reservations)

    def test_epochs_other_than_the_fence_are_refused(self) -> None:
        """Guards against two active owners.

        One worker receives an epoch above its fence; the other has lost its
        fence in a restart.
        """
        worker = _worker()
        restarted = StandinWorker(
            StandinWorkerSettings.model_validate(
                {"name": "w1", "http": {"host": "127.0.0.1", "port": 1}}
            ),
            RunTimeModel({}, Random(7)),
        )
        for target, epoch in ((worker, 2), (restarted, 1), (restarted, 0)):
            started = target.start_request(_request("r1"), epoch, 0.0)
            self.assertIsInstance(started.unwrap_err(), EpochRefused)

    def test_late_start_is_refused(self) -> None:
        """Guards against an attempt that starts after its lease expired."""
        worker = _worker()
        late = worker.start_task(_TASK, 1, 30.0)
        self.assertIsInstance(late.unwrap_err(), LeaseExpired)
        self.assertEqual([], list(worker.ledger.executions))

    def test_acknowledged_ends_are_discarded(self) -> None:
        """Guards against a new owner that receives ends already stored."""
        worker = _worker()
        for attempt in (1, 2):
            worker.start_task(replace(_TASK, attempt=attempt), 1, 0.0)
            worker.stop_task("j1", attempt, 1, 1.0)
        worker.acknowledge(1)
        kept = [ended.attempt for ended in worker.report(0, 2.0).ended]
        self.assertEqual([2], kept)

    def test_work_beyond_a_limit_is_refused(self) -> None:
        """Guards against a worker that accepts work beyond a limit."""
        for limit, needs in (
            ({"cpu": 2}, {"cpu": 1.5}),
            ({"memory_mb": 200}, {"memory_mb": 150}),
            ({"accelerators": 1}, {"accelerators": 1}),
            ({"slots": 1}, {}),
        ):
            worker = _worker(**limit)
            run = worker.start_request(_request("r1", **needs), 1, 0.0)
            task = replace(_TASK, needs=Resources(**needs))
            refused = worker.start_task(task, 1, 0.0).unwrap_err()
            self.assertIsInstance(refused, InsufficientCapacity, limit)
            worker.end_request(run.unwrap(), 1.0)
            self.assertTrue(worker.start_task(task, 1, 1.0).is_ok())
            for peak in worker.ledger.peaks.values():
                self.assertLessEqual(peak.highest, peak.limit)

    def test_leaving_worker_refuses_new_work_only(self) -> None:
        """Guards against a leaving worker that drops its running work."""
        worker = _worker()
        worker.start_task(_TASK, 1, 0.0)
        worker.leave(1.0)
        request = worker.start_request(_request("r1"), 1, 2.0)
        self.assertIsInstance(request.unwrap_err(), WorkerLeaving)
        self.assertTrue(worker.start_task(_TASK, 1, 2.0).is_ok())
        self.assertEqual(("j1",), worker.report(0, 2.0).running)
        self.assertTrue(worker.fence(2, 2.0).unwrap().leaving)

    def test_peaks_exceed_limits_without_guards(self) -> None:
        """Guards against a recorded peak that is capped at the limit."""
        worker = _worker(guards=False, slots=1, cpu=1, connections=1)
        worker.fence(5, 0.0)
        worker.leave(0.0)
        for name in ("r1", "r2", "r3"):
            started = worker.start_request(_request(name, cpu=0.5), 1, 0.0)
            self.assertTrue(started.is_ok())
            self.assertTrue(worker.try_open_connection())
        worker.close_connection()
        peaks = worker.ledger.peaks
        self.assertEqual(
            (3, 1), (peaks["slots"].highest, peaks["slots"].limit)
        )
        self.assertEqual(1.5, peaks["cpu"].highest)
        self.assertEqual(3, peaks["connections"].highest)


class TaskTest(TestCase):
    """Leases, checkpoints and ends of tasks."""

    def _ended(self, worker: StandinWorker, now: float) -> list[EndedTask]:
        return list(worker.report(0, now).ended)

    def test_task_without_renewal_lapses(self) -> None:
        """Guards against a task that runs on after its lease expired."""
        worker = _worker()
        worker.start_task(replace(_TASK, run_s=None), 1, 0.0)
        worker.renew_leases([("j1", 1)], 50.0, 1, 20.0)
        self.assertEqual(50.0, worker.next_end_at())
        self.assertEqual([], self._ended(worker, 49.9))
        # The renewal arrives after the expiry, and no call came in between.
        unknown = worker.renew_leases([("j1", 1)], 85.0, 1, 55.0)
        self.assertEqual(("j1",), unknown.unwrap())
        (ended,) = self._ended(worker, 55.0)
        self.assertEqual(ExecutionEnd.LAPSED, ended.how)
        self.assertEqual(50.0, worker.ledger.executions[0].end)

    def test_calls_to_another_attempt_are_unknown(self) -> None:
        """Guards against late calls that affect a newer attempt."""
        worker = _worker()
        worker.start_task(replace(_TASK, attempt=2), 1, 0.0)
        unknown = worker.renew_leases([("j1", 1)], 500.0, 1, 20.0)
        self.assertEqual(("j1",), unknown.unwrap())
        stopped = worker.stop_task("j1", 1, 1, 20.0)
        self.assertIsInstance(stopped.unwrap_err(), UnknownTask)
        self.assertEqual(30.0, worker.next_end_at())

    def test_repeated_start_runs_once(self) -> None:
        """Guards against a second run when a start is retried."""
        worker = _worker(slots=1)
        task = replace(_LONG_LEASE, run_s=10.0)
        for now in (0.0, 1.0, 20.0):
            self.assertTrue(worker.start_task(task, 1, now).is_ok())
        (execution,) = worker.ledger.executions
        self.assertEqual((0.0, 10.0), (execution.start, execution.end))
        self.assertEqual(ExecutionEnd.DONE, execution.how)

    def test_resumed_attempts_run_only_the_remainder(self) -> None:
        """Guards against progress that an eviction loses or counts twice."""
        services = {"recheck": StandinServiceSettings(task_scale=2.0)}
        task = _LONG_LEASE
        left_s = [200.0, 140.0, 20.0]
        for attempt, run_s in ((1, 60.0), (2, 120.0)):
            worker = _worker(services)
            task = replace(task, attempt=attempt)
            worker.start_task(task, 1, 0.0)
            self.assertAlmostEqual(
                left_s[attempt - 1], worker.next_end_at(), 4
            )
            for _ in range(2):
                how = worker.checkpoint_task("j1", attempt, 1, run_s)
                self.assertEqual(ExecutionEnd.EVICTED, how.unwrap())
            (ended,) = self._ended(worker, run_s)
            task = replace(task, checkpoint=ended.checkpoint)
        worker = _worker(services)
        worker.start_task(replace(task, attempt=3), 1, 0.0)
        self.assertAlmostEqual(left_s[2], worker.next_end_at(), 4)
        worker.stop_task("j1", 3, 1, 5.0)
        (ended,) = self._ended(worker, 5.0)
        self.assertEqual(ExecutionEnd.STOPPED, ended.how)
        self.assertEqual(task.checkpoint, ended.checkpoint)

    def test_repeated_throttle_halves_once(self) -> None:
        """Guards against a repeated call that slows a task down further."""
        worker = _worker()
        worker.start_task(_LONG_LEASE, 1, 0.0)
        worker.throttle_task("j1", 1, 1, 50.0)
        worker.throttle_task("j1", 1, 1, 60.0)
        self.assertAlmostEqual(150.0, worker.next_end_at(), 6)

    def test_standing_task_runs_while_renewed(self) -> None:
        """Guards against a task of a standing service that ends by itself.

        Such a task has no run time and runs while its lease is renewed.
        """
        worker = _worker()
        worker.start_task(replace(_TASK, run_s=None), 1, 0.0)
        for now in range(10, 100_000, 10):
            worker.renew_leases([("j1", 1)], now + 30.0, 1, float(now))
        self.assertEqual(1, len(worker.ledger.running))

    def test_failures_match_the_configured_share(self) -> None:
        """Guards against a wrong share of failures, or unreported ones."""
        services = {"recheck": StandinServiceSettings(fail_share=0.25)}
        worker = _worker(services, slots=2000, cpu=2000, memory_mb=200_000)
        for number in range(1000):
            run_s = None if number % 2 else 100.0
            task = replace(_LONG_LEASE, id=f"j{number}", run_s=run_s)
            worker.start_task(task, 1, 0.0)
        ended = self._ended(worker, 101.0)
        failed = [end for end in ended if end.how is ExecutionEnd.FAILED]
        self.assertTrue(200 < len(failed) < 300, len(failed))
        self.assertTrue(all(end.detail for end in failed))


class ReportTest(TestCase):
    """Sequence numbers, lag and usage."""

    def test_lost_report_is_repeated(self) -> None:
        """Guards against ends that only a single report contains."""
        worker = _worker()
        for number in range(10_000):
            task = replace(
                _TASK,
                id=f"j{number}",
                run_s=1.0,
                lease_until_s=number + 30.0,
            )
            worker.start_task(task, 1, float(number))
        worker.leave(10_000.0)
        for _ in range(2):
            report = worker.report(0, 10_001.0)
            sequences = [ended.sequence for ended in report.ended]
            self.assertEqual(list(range(1, 10_001)), sequences)
            self.assertEqual(10_001, report.sequence)
        self.assertEqual((), worker.report(10_001, 10_002.0).ended)
        self.assertEqual(10_000, len(worker.report(10_002, 10_002.0).ended))

    def test_lagging_report_is_consistent(self) -> None:
        """Guards against a lag that skips ends or mixes two states."""
        worker = _worker()
        worker.faults.replace(Faults(lag_s=10.0), 0.0)
        worker.start_task(replace(_TASK, run_s=5.0), 1, 0.0)
        worker.end_due_tasks(5.0)
        worker.leave(6.0)
        early = worker.report(0, 14.0)
        self.assertEqual(("j1",), early.running)
        self.assertEqual(
            (0, (), False), (early.sequence, early.ended, early.leaving)
        )
        self.assertEqual(15.0, worker.next_event_at(0))
        late = worker.report(early.sequence, 15.0)
        self.assertEqual((1, False), (late.sequence, late.leaving))
        self.assertEqual(((), 1), (late.running, len(late.ended)))
        self.assertEqual(16.0, worker.next_event_at(1))
        self.assertTrue(worker.report(1, 16.0).leaving)

    def test_usage_appears_late(self) -> None:
        """Guards against usage that is reported at once or decreases."""
        worker = _worker(usage_lag_s=5.0)
        run = worker.start_request(_request("r1", cpu=0.5), 1, 0.0).unwrap()
        worker.end_request(run, 2.0)
        self.assertEqual((), worker.report(0, 6.9).usage)
        (row,) = worker.report(0, 7.0).usage
        self.assertEqual((1, 2.0, 1.0), (row.ended, row.run_s, row.cpu_s))
        worker.faults.replace(Faults(lag_s=100.0), 7.0)
        self.assertEqual((row,), worker.report(0, 8.0).usage)
