"""A stand-in worker without its HTTP API."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.standin.active_faults import ActiveFaults
from carawaystep.standin.worker.checkpoint_key import parse_done_share
from carawaystep.standin.worker.execution import Execution
from carawaystep.standin.worker.guarded_admission import GuardedAdmission
from carawaystep.standin.worker.ledger import Ledger
from carawaystep.standin.worker.refusal import LeaseExpired
from carawaystep.standin.worker.refusal import UnknownTask
from carawaystep.standin.worker.request_run import RequestRun
from carawaystep.standin.worker.standin_worker_report import (
    StandinWorkerReport,
)
from carawaystep.standin.worker.task_run import TaskRun
from carawaystep.standin.worker.unguarded_admission import UnguardedAdmission
from carawaystep.standin.worker.usage_log import UsageLog
from carawaystep.standin.worker.worker_event_log import WorkerEventLog
from carawaystep.worker.capacity import Capacity
from carawaystep.worker.execution_end import ExecutionEnd
from carawaystep.worker.fence_answer import FenceAnswer
from carawaystep.worker.reservation import Reservation
from carawaystep.worker.resources import Resources
from carawaystep.worker.work_kind import WorkKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from result import Result

    from carawaystep.settings.standin_worker_settings import (
        StandinWorkerSettings,
    )
    from carawaystep.standin.worker.admission_policy import AdmissionPolicy
    from carawaystep.standin.worker.refusal import Refusal
    from carawaystep.standin.worker.run_time_model import RunTimeModel
    from carawaystep.worker.worker_request import WorkerRequest
    from carawaystep.worker.worker_task import WorkerTask

# A failing task fails after a random share of its run time. A task of a
# standing service has no run time, so a failing one fails within this time.
_STANDING_TASK_FAILURE_WINDOW_S = 10.0


class StandinWorker:
    """Fence, admission, leases and ledger of one worker.

    Methods that decide about work or report first end the tasks whose time
    or lease is over, so that they do not count a task that no longer runs.
    """

    def __init__(
        self,
        settings: StandinWorkerSettings,
        run_time_model: RunTimeModel,
        create_guarded_admission: Callable[
            [Capacity], AdmissionPolicy
        ] = GuardedAdmission,
    ) -> None:
        """Create an idle worker.

        :param settings: name, limits and guards of the worker
        :param run_time_model: determines run times and failures
        :param create_guarded_admission: creates the admission policy if the
            settings enable guards
        """
        self._settings = settings
        self._run_time_model = run_time_model
        self._capacity = Capacity(
            Resources(settings.cpu, settings.memory_mb, settings.accelerators),
            settings.slots,
            settings.connections,
        )
        self._admission: AdmissionPolicy = UnguardedAdmission()
        if settings.guards:
            self._admission = create_guarded_admission(self._capacity)
        self._ledger = Ledger(self._capacity)
        self._events = WorkerEventLog()
        self._usage = UsageLog(settings.usage_lag_s)
        self._faults = ActiveFaults()
        self._fence_epoch = 0
        self._leaving = False
        self._running_tasks: dict[tuple[str, int], TaskRun] = {}
        self._executions_by_attempt: dict[tuple[str, int], Execution] = {}

    @property
    def name(self) -> str:
        """Return the name of the worker."""
        return self._settings.name

    @property
    def ledger(self) -> Ledger:
        """Return the record of all executions."""
        return self._ledger

    @property
    def faults(self) -> ActiveFaults:
        """Return the faults that the worker injects."""
        return self._faults

    def next_end_at(self) -> float:
        """Return the time of the next end of a task, infinity if none runs."""
        return min(
            (run.next_end()[0] for run in self._running_tasks.values()),
            default=math.inf,
        )

    def end_due_tasks(self, now: float) -> None:
        """End the tasks whose end time is reached, in order of these times.

        :param now: current monotonic time in seconds
        """
        due = [
            (*run.next_end(), run)
            for run in self._running_tasks.values()
            if run.next_end()[0] <= now
        ]
        for ended_at, how, run in sorted(due, key=lambda item: item[0]):
            self._end_task(run, how, ended_at, now)

    def fence(self, epoch: int, now: float) -> Result[FenceAnswer, Refusal]:
        """Set the epoch that the admission policy compares calls with.

        :param epoch: epoch of the new ownership
        :param now: current monotonic time in seconds
        """
        self.end_due_tasks(now)
        refusal = self._admission.check_fence(epoch, self._fence_epoch)
        if refusal is not None:
            return Err(refusal)
        self._fence_epoch = epoch
        return Ok(
            FenceAnswer(
                epoch,
                self._admission.guards,
                self._leaving,
                self._capacity,
                tuple(
                    Reservation(run.id, run.kind, run.attempt, run.needs)
                    for run in self._ledger.running
                ),
                self._events.sequence,
                now,
            )
        )

    def start_request(
        self, request: WorkerRequest, epoch: int, now: float
    ) -> Result[RequestRun, Refusal]:
        """Start a request; the caller ends it at ``RequestRun.ends_at``.

        :param request: request to run
        :param epoch: epoch of the caller's ownership
        :param now: current monotonic time in seconds
        """
        refusal = self._check_new_work(epoch, request.needs, now)
        if refusal is not None:
            return Err(refusal)
        execution = Execution(
            request.request_id,
            WorkKind.REQUEST,
            request.idempotency_key,
            request.service,
            0,
            request.needs,
            now,
        )
        self._ledger.record_start(execution)
        run_s = self._run_time_model.draw_request_run_s(request.service)
        fails = self._run_time_model.draw_failure(request.service)
        return Ok(RequestRun(execution, now + run_s, fails))

    def end_request(self, run: RequestRun, now: float) -> None:
        """End a request.

        :param run: a running request
        :param now: current monotonic time in seconds
        """
        how = ExecutionEnd.FAILED if run.fails else ExecutionEnd.DONE
        self._ledger.record_end(run.execution, how, now)
        self._usage.append(run.execution, now)

    def start_task(
        self, task: WorkerTask, epoch: int, now: float
    ) -> Result[None, Refusal]:
        """Start an attempt of a job; a repeated call does nothing.

        :param task: task to run
        :param epoch: epoch of the caller's ownership
        :param now: current monotonic time in seconds
        """
        self.end_due_tasks(now)
        refusal = self._admission.check_epoch(epoch, self._fence_epoch)
        if refusal is not None:
            return Err(refusal)
        if (task.id, task.attempt) in self._executions_by_attempt:
            return Ok(None)
        refusal = self._check_new_work(epoch, task.needs, now)
        if refusal is not None:
            return Err(refusal)
        if task.lease_until_s <= now:
            return Err(
                LeaseExpired("the lease expired before the start arrived")
            )
        run = self._create_run(task, now)
        self._ledger.record_start(run.execution)
        self._running_tasks[task.id, task.attempt] = run
        self._executions_by_attempt[task.id, task.attempt] = run.execution
        return Ok(None)

    def renew_leases(
        self,
        attempts: Iterable[tuple[str, int]],
        until_s: float,
        epoch: int,
        now: float,
    ) -> Result[tuple[str, ...], Refusal]:
        """Renew the leases of tasks.

        :param attempts: job ids with attempt numbers
        :param until_s: new expiry of the leases, seconds of this worker's
            clock
        :param epoch: epoch of the caller's ownership
        :param now: current monotonic time in seconds
        :returns: ids of the jobs whose attempt is not running here
        """
        self.end_due_tasks(now)
        refusal = self._admission.check_epoch(epoch, self._fence_epoch)
        if refusal is not None:
            return Err(refusal)
        unknown: list[str] = []
        for attempt in attempts:
            run = self._running_tasks.get(attempt)
            if run is None:
                unknown.append(attempt[0])
            else:
                run.renew_lease(until_s)
        return Ok(tuple(unknown))

    def checkpoint_task(
        self, job_id: str, attempt: int, epoch: int, now: float
    ) -> Result[ExecutionEnd | None, Refusal]:
        """End a task as evicted, with a checkpoint.

        :returns: how the attempt ended, None while it runs
        """
        found = self._find_task(job_id, attempt, epoch, now)
        if isinstance(found, Ok) and found.ok_value is not None:
            found.ok_value.take_checkpoint(now)
            self._end_task(found.ok_value, ExecutionEnd.EVICTED, now, now)
        return found.map(
            lambda _: self._executions_by_attempt[job_id, attempt].how
        )

    def throttle_task(
        self, job_id: str, attempt: int, epoch: int, now: float
    ) -> Result[ExecutionEnd | None, Refusal]:
        """Reduce a task to half its speed.

        :returns: how the attempt ended, None while it runs
        """
        found = self._find_task(job_id, attempt, epoch, now)
        if isinstance(found, Ok) and found.ok_value is not None:
            found.ok_value.throttle(now)
        return found.map(
            lambda _: self._executions_by_attempt[job_id, attempt].how
        )

    def stop_task(
        self, job_id: str, attempt: int, epoch: int, now: float
    ) -> Result[ExecutionEnd | None, Refusal]:
        """End a task as stopped, without a new checkpoint.

        :returns: how the attempt ended, None while it runs
        """
        found = self._find_task(job_id, attempt, epoch, now)
        if isinstance(found, Ok) and found.ok_value is not None:
            self._end_task(found.ok_value, ExecutionEnd.STOPPED, now, now)
        return found.map(
            lambda _: self._executions_by_attempt[job_id, attempt].how
        )

    def leave(self, now: float) -> None:
        """Mark the worker as leaving the fleet; running work continues.

        :param now: current monotonic time in seconds
        """
        self.end_due_tasks(now)
        self._leaving = True
        self._events.append_leaving(now)

    def next_event_at(self, since: int) -> float:
        """Return when a report first shows an event after a sequence number.

        :param since: sequence number of the last report
        :returns: monotonic time in seconds, infinity if there is no event
        """
        return (
            self._events.next_event_at(self._known_sequence(since))
            + self._faults.lag_s
        )

    def report(self, since: int, now: float) -> StandinWorkerReport:
        """Return the state and events as they were before the injected lag.

        :param since: sequence number of the last report; a number that this
            worker has not issued, for example one from before a restart, is
            treated as 0
        :param now: current monotonic time in seconds
        """
        self.end_due_tasks(now)
        since = self._known_sequence(since)
        lag_s = self._faults.lag_s
        as_of = now - lag_s
        running = (
            self._ledger.running_at(as_of)
            if lag_s > 0
            else self._ledger.running
        )
        return StandinWorkerReport(
            self._events.last_sequence(since, as_of),
            self._events.was_leaving(as_of),
            tuple(execution.id for execution in running),
            self._events.ended_tasks(since, as_of),
            self._usage.rows(now, lag_s),
            as_of,
        )

    def check_epoch(self, epoch: int) -> Refusal | None:
        """Check the epoch of a poll; return the refusal, or None.

        :param epoch: epoch of the caller's ownership
        """
        return self._admission.check_epoch(epoch, self._fence_epoch)

    def acknowledge(self, sequence: int) -> None:
        """Discard the ended tasks that the owner has stored.

        :param sequence: sequence number of the last stored one
        """
        if sequence <= self._events.sequence:
            self._events.discard_ended_through(sequence)

    def try_open_connection(self) -> bool:
        """Count a new connection if it is admitted.

        :returns: False if it is refused
        """
        if not self._admission.admits_connection(self._ledger):
            return False
        self._ledger.record_connection_opened()
        return True

    def close_connection(self) -> None:
        """Count that an accepted connection was closed."""
        self._ledger.record_connection_closed()

    def _known_sequence(self, since: int) -> int:
        return since if since <= self._events.sequence else 0

    def _check_new_work(
        self, epoch: int, needs: Resources, now: float
    ) -> Refusal | None:
        self.end_due_tasks(now)
        return self._admission.check_epoch(
            epoch, self._fence_epoch
        ) or self._admission.check_work(needs, self._ledger, self._leaving)

    def _create_run(self, task: WorkerTask, now: float) -> TaskRun:
        execution = Execution(
            task.id,
            WorkKind.TASK,
            None,
            task.service,
            task.attempt,
            task.needs,
            now,
        )
        total_s = self._run_time_model.scale_task_run_s(
            task.service, task.run_s
        )
        fails_at_share = None
        if self._run_time_model.draw_failure(task.service):
            done = parse_done_share(task.checkpoint)
            fails_at_share = (
                done + (1 - done) * self._run_time_model.draw_share()
            )
            total_s = total_s or _STANDING_TASK_FAILURE_WINDOW_S
        return TaskRun(
            execution,
            total_s,
            fails_at_share,
            task.checkpoint,
            task.lease_until_s,
        )

    def _find_task(
        self, job_id: str, attempt: int, epoch: int, now: float
    ) -> Result[TaskRun | None, Refusal]:
        """Return the running attempt, None if it has ended."""
        self.end_due_tasks(now)
        refusal = self._admission.check_epoch(epoch, self._fence_epoch)
        if refusal is not None:
            return Err(refusal)
        if (job_id, attempt) not in self._executions_by_attempt:
            return Err(
                UnknownTask(f"job {job_id} attempt {attempt} never ran here")
            )
        return Ok(self._running_tasks.get((job_id, attempt)))

    def _end_task(
        self, run: TaskRun, how: ExecutionEnd, ended_at: float, now: float
    ) -> None:
        execution = run.execution
        del self._running_tasks[execution.id, execution.attempt]
        self._ledger.record_end(execution, how, ended_at)
        self._events.append_task_end(execution, run.checkpoint, now)
        self._usage.append(execution, now)
