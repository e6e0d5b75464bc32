"""A stand-in worker without its HTTP front end."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.standin.active_faults import FaultPlan
from carawaystep.standin.worker.checkpoint_key import done_share
from carawaystep.standin.worker.execution import Execution
from carawaystep.standin.worker.guarded_admission import GuardedAdmission
from carawaystep.standin.worker.ledger import Ledger
from carawaystep.standin.worker.refusal import LeaseEnded
from carawaystep.standin.worker.refusal import UnknownTask
from carawaystep.standin.worker.request_run import RequestRun
from carawaystep.standin.worker.standin_worker_report import Report
from carawaystep.standin.worker.task_run import TaskRun
from carawaystep.standin.worker.unguarded_admission import OpenAdmission
from carawaystep.standin.worker.usage_log import UsageLog
from carawaystep.standin.worker.worker_event_log import ReportLog
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
    from carawaystep.standin.worker.admission_policy import Admission
    from carawaystep.standin.worker.refusal import Refusal
    from carawaystep.standin.worker.run_time_model import RunTimeModel
    from carawaystep.worker.worker_request import WorkerRequest
    from carawaystep.worker.worker_task import WorkerTask

# Endless work has no run time of which a failure could take a share.
_ENDLESS_FAILURE_S = 10.0


class StandinWorker:
    """Fence, admission, leases and ledger of one worker.

    Every method first ends the tasks that are due, so that no decision rests
    on a task that has run out.
    """

    def __init__(
        self,
        settings: StandinWorkerSettings,
        run_times: RunTimeModel,
        guarded: Callable[[Capacity], Admission] = GuardedAdmission,
    ) -> None:
        """Create an idle worker.

        :param settings: limits of the worker
        :param run_times: run times and failures
        :param guarded: creates the admission when guards are on
        """
        self._settings = settings
        self._run_times = run_times
        self._capacity = Capacity(
            Resources(settings.cpu, settings.memory_mb, settings.accelerators),
            settings.slots,
            settings.connections,
        )
        self._admission: Admission = OpenAdmission()
        if settings.guards:
            self._admission = guarded(self._capacity)
        self._ledger = Ledger(self._capacity)
        self._reports = ReportLog()
        self._usage = UsageLog(settings.usage_lag_s)
        self._faults = FaultPlan()
        self._epoch = 0
        self._leaving = False
        self._tasks: dict[tuple[str, int], TaskRun] = {}
        self._attempts: dict[tuple[str, int], Execution] = {}

    @property
    def name(self) -> str:
        """Return the name of the worker."""
        return self._settings.name

    @property
    def ledger(self) -> Ledger:
        """Return the record of everything that it ran."""
        return self._ledger

    @property
    def faults(self) -> FaultPlan:
        """Return the faults that tests switch on."""
        return self._faults

    def next_due(self) -> float:
        """Return when the next task ends, infinity when none runs."""
        return min(
            (run.due()[0] for run in self._tasks.values()), default=math.inf
        )

    def advance(self, now: float) -> None:
        """End the tasks that are due, in order of their ends.

        :param now: present time, seconds of a monotonic clock
        """
        due = [
            (*run.due(), run)
            for run in self._tasks.values()
            if run.due()[0] <= now
        ]
        for end, how, run in sorted(due, key=lambda found: found[0]):
            self._end_task(run, how, end, now)

    def fence(self, epoch: int, now: float) -> Result[FenceAnswer, Refusal]:
        """Refuse all lower epochs from now on.

        :param epoch: epoch of the ownership row
        :param now: present time, seconds of a monotonic clock
        """
        self.advance(now)
        refusal = self._admission.check_fence(epoch, self._epoch)
        if refusal is not None:
            return Err(refusal)
        self._epoch = epoch
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
                self._reports.sequence,
                now,
            )
        )

    def start_request(
        self, request: WorkerRequest, epoch: int, now: float
    ) -> Result[RequestRun, Refusal]:
        """Start a request; the caller ends it when it is due.

        :param request: what to run
        :param epoch: epoch of the caller's ownership
        :param now: present time, seconds of a monotonic clock
        """
        refusal = self._check(epoch, request.needs, now)
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
        self._ledger.begin(execution)
        run_s = self._run_times.request_s(request.service)
        fails = self._run_times.fails(request.service)
        return Ok(RequestRun(execution, now + run_s, fails))

    def end_request(self, run: RequestRun, now: float) -> None:
        """End a request.

        :param run: a request that runs
        :param now: present time, seconds of a monotonic clock
        """
        how = ExecutionEnd.FAILED if run.fails else ExecutionEnd.DONE
        self._ledger.end(run.execution, how, now)
        self._usage.append(run.execution, now)

    def start_task(
        self, task: WorkerTask, epoch: int, now: float
    ) -> Result[None, Refusal]:
        """Start an attempt; repeating the call has no further effect.

        :param task: what to run
        :param epoch: epoch of the caller's ownership
        :param now: present time, seconds of a monotonic clock
        """
        self.advance(now)
        refusal = self._admission.check_epoch(epoch, self._epoch)
        if refusal is not None:
            return Err(refusal)
        if (task.id, task.attempt) in self._attempts:
            return Ok(None)
        refusal = self._check(epoch, task.needs, now)
        if refusal is not None:
            return Err(refusal)
        if task.lease_until_s <= now:
            return Err(LeaseEnded("the lease ended before the start arrived"))
        run = self._new_run(task, now)
        self._ledger.begin(run.execution)
        self._tasks[task.id, task.attempt] = run
        self._attempts[task.id, task.attempt] = run.execution
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
        :param until_s: end of the leases, by this worker's clock
        :param epoch: epoch of the caller's ownership
        :param now: present time, seconds of a monotonic clock
        :returns: job ids whose attempt does not run here
        """
        self.advance(now)
        refusal = self._admission.check_epoch(epoch, self._epoch)
        if refusal is not None:
            return Err(refusal)
        unknown: list[str] = []
        for attempt in attempts:
            run = self._tasks.get(attempt)
            if run is None:
                unknown.append(attempt[0])
            else:
                run.renew(until_s)
        return Ok(tuple(unknown))

    def checkpoint_task(
        self, job_id: str, attempt: int, epoch: int, now: float
    ) -> Result[ExecutionEnd | None, Refusal]:
        """End a task as evicted, with a checkpoint.

        :returns: how the attempt ended, as for the two methods below
        """
        found = self._find(job_id, attempt, epoch, now)
        if isinstance(found, Ok) and found.ok_value is not None:
            found.ok_value.save(now)
            self._end_task(found.ok_value, ExecutionEnd.EVICTED, now, now)
        return found.map(lambda _: self._attempts[job_id, attempt].how)

    def throttle_task(
        self, job_id: str, attempt: int, epoch: int, now: float
    ) -> Result[ExecutionEnd | None, Refusal]:
        """Halve the speed of a task."""
        found = self._find(job_id, attempt, epoch, now)
        if isinstance(found, Ok) and found.ok_value is not None:
            found.ok_value.throttle(now)
        return found.map(lambda _: self._attempts[job_id, attempt].how)

    def stop_task(
        self, job_id: str, attempt: int, epoch: int, now: float
    ) -> Result[ExecutionEnd | None, Refusal]:
        """End a task as stopped, without a new checkpoint."""
        found = self._find(job_id, attempt, epoch, now)
        if isinstance(found, Ok) and found.ok_value is not None:
            self._end_task(found.ok_value, ExecutionEnd.STOPPED, now, now)
        return found.map(lambda _: self._attempts[job_id, attempt].how)

    def leave(self, now: float) -> None:
        """Mark the worker as leaving the fleet; what runs goes on.

        :param now: present time, seconds of a monotonic clock
        """
        self.advance(now)
        self._leaving = True
        self._reports.append_leaving(now)

    def news_at(self, since: int) -> float:
        """Return when a report after a sequence number holds news.

        :param since: sequence number of the last report
        :returns: infinity when nothing has happened yet
        """
        return self._reports.next_at(self._known(since)) + self._faults.lag_s

    def report(self, since: int, now: float) -> Report:
        """Return the state and the news, aged by the faults.

        :param since: sequence number of the last report; one that was never
            given out, as before a restart of the worker, counts as 0
        :param now: present time, seconds of a monotonic clock
        """
        self.advance(now)
        since = self._known(since)
        lag_s = self._faults.lag_s
        seen_at = now - lag_s
        running = (
            self._ledger.running_at(seen_at)
            if lag_s > 0
            else self._ledger.running
        )
        return Report(
            self._reports.last_sequence(since, seen_at),
            self._reports.leaving(seen_at),
            tuple(execution.id for execution in running),
            self._reports.ended(since, seen_at),
            self._usage.rows(now, lag_s),
            seen_at,
        )

    def check_epoch(self, epoch: int) -> Refusal | None:
        """Return the refusal of a poll under another epoch, if any.

        :param epoch: epoch of the caller's ownership
        """
        return self._admission.check_epoch(epoch, self._epoch)

    def acknowledge(self, sequence: int) -> None:
        """Forget ends that the owner has stored.

        :param sequence: number of the last stored end
        """
        if sequence <= self._reports.sequence:
            self._reports.forget(sequence)

    def open_connection(self) -> bool:
        """Count a new connection.

        :returns: False when it is refused
        """
        if not self._admission.admits_connection(self._ledger):
            return False
        self._ledger.open_connection()
        return True

    def close_connection(self) -> None:
        """Count the end of an accepted connection."""
        self._ledger.close_connection()

    def _known(self, since: int) -> int:
        return since if since <= self._reports.sequence else 0

    def _check(
        self, epoch: int, needs: Resources, now: float
    ) -> Refusal | None:
        self.advance(now)
        return self._admission.check_epoch(
            epoch, self._epoch
        ) or self._admission.check_work(needs, self._ledger, self._leaving)

    def _new_run(self, task: WorkerTask, now: float) -> TaskRun:
        execution = Execution(
            task.id,
            WorkKind.TASK,
            None,
            task.service,
            task.attempt,
            task.needs,
            now,
        )
        total_s = self._run_times.task_s(task.service, task.run_s)
        fails_at_share = None
        if self._run_times.fails(task.service):
            done = done_share(task.checkpoint)
            fails_at_share = done + (1 - done) * self._run_times.share()
            total_s = total_s or _ENDLESS_FAILURE_S
        return TaskRun(
            execution,
            total_s,
            fails_at_share,
            task.checkpoint,
            task.lease_until_s,
        )

    def _find(
        self, job_id: str, attempt: int, epoch: int, now: float
    ) -> Result[TaskRun | None, Refusal]:
        """Return the running attempt, None when it has ended."""
        self.advance(now)
        refusal = self._admission.check_epoch(epoch, self._epoch)
        if refusal is not None:
            return Err(refusal)
        if (job_id, attempt) not in self._attempts:
            return Err(UnknownTask(f"{job_id} attempt {attempt} never ran"))
        return Ok(self._tasks.get((job_id, attempt)))

    def _end_task(
        self, run: TaskRun, how: ExecutionEnd, end: float, now: float
    ) -> None:
        execution = run.execution
        del self._tasks[execution.id, execution.attempt]
        self._ledger.end(execution, how, end)
        self._reports.append_end(execution, run.checkpoint, now)
        self._usage.append(execution, now)
