"""Session of the owning entry with one worker."""

from __future__ import annotations

import asyncio
from dataclasses import replace
import random
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.entry.attempt_finalizer import AttemptFinalizer
from carawaystep.job.job_state import JobState
from carawaystep.worker.lease_tracker import LeaseTracker
from carawaystep.worker.work_kind import WorkKind
from carawaystep.worker.worker_failure import WorkerOutcomeUnknown
from carawaystep.worker.worker_failure import WorkerRefused

if TYPE_CHECKING:
    from result import Result

    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.job_repository import JobRepository
    from carawaystep.membership.ownership import Ownership
    from carawaystep.worker.reservation import Reservation
    from carawaystep.worker.worker import Worker
    from carawaystep.worker.worker_failure import WorkerFailure
    from carawaystep.worker.worker_port import WorkerPort
    from carawaystep.worker.worker_report import WorkerReport
    from carawaystep.worker.worker_task import WorkerTask

_RETRY_MIN_DELAY_S = 0.1
_RETRY_MAX_DELAY_S = 2.0


class WorkerSession:
    """Fences an owned worker, polls its reports and renews task leases.

    One session serves one ownership in one asyncio task. A fence makes the
    worker reject earlier owners, and its answer lists what the worker runs.
    The session fences again whenever the answer to a call was lost or the
    worker may have restarted.
    """

    def __init__(
        self,
        state: EntryState,
        repository: JobRepository,
        worker: Worker,
        port: WorkerPort,
        ownership: Ownership,
    ) -> None:
        """Create a session for one ownership.

        :param state: shared state of the entry process
        :param repository: reads and writes job rows
        :param worker: aggregate of the worker
        :param port: port to the worker
        :param ownership: owner row that names this process
        """
        self._state = state
        self._worker = worker
        self._port = port
        self._ownership = ownership
        self._last_sequence = 0
        self._renewed_at: float | None = None
        self._finalizer = AttemptFinalizer(
            state, repository, worker, ownership
        )
        self._stop_sent: set[tuple[str, int]] = set()
        self._fenced_once = False
        self._reported_since_fence = False
        self._finalize_task: asyncio.Task[None] | None = None
        self._leases = LeaseTracker(
            state.settings.tasks.lease_s, state.settings.tasks.margin_s
        )
        self._fence_requested = asyncio.Event()
        self._retry_delay_s = _RETRY_MIN_DELAY_S

    @property
    def worker(self) -> Worker:
        """Return the aggregate of the worker."""
        return self._worker

    @property
    def port(self) -> WorkerPort:
        """Return the port to the worker."""
        return self._port

    @property
    def ownership(self) -> Ownership:
        """Return the owner row that names this process."""
        return self._ownership

    @property
    def unstored_end_count(self) -> int:
        """Return the number of reported ends that are not yet stored."""
        return self._finalizer.unstored_end_count

    async def run(self) -> None:
        """Serve the worker until its ownership is revoked, or cancelled."""
        try:
            while not self._worker.guard.revoked:
                if await self._serve_once():
                    self._retry_delay_s = _RETRY_MIN_DELAY_S
                    continue
                self._finalize_in_background()
                await self._requeue_lapsed()
                await self._back_off()
        finally:
            if self._finalize_task is not None:
                self._finalize_task.cancel()
            await self._port.close()

    async def start_task(
        self, task: WorkerTask, token: int
    ) -> Result[None, WorkerFailure]:
        """Start an attempt on the worker under a new lease.

        :param task: attempt that has a reservation
        :param token: fencing token at the time of the reservation; a later
            fence dropped the reservation, because the worker did not list
            the attempt
        :returns: Ok when the worker runs the attempt
        """
        if token != self._worker.guard.token:
            return Err(
                WorkerRefused("the worker was fenced after the reservation")
            )
        if self._worker.leaving:
            self._worker.release(task.id)
            return Err(
                WorkerRefused(
                    "the worker started leaving after the reservation"
                )
            )
        started = await self._port.start_task(
            replace(task, lease_until_s=self._leases.grant_lease()), token
        )
        if isinstance(started, Ok):
            return started
        failure = started.err_value
        if isinstance(failure, WorkerOutcomeUnknown):
            self._worker.mark_answer_lost(task.id)
        else:
            self._worker.release(task.id)
        self.handle_dispatch_failure(failure)
        return started

    def handle_dispatch_failure(self, failure: WorkerFailure) -> None:
        """Request another fence, or mark the worker as leaving, if needed.

        :param failure: why a request or task was not started or answered
        """
        if isinstance(failure, WorkerOutcomeUnknown):
            self._fence_requested.set()
            return
        if not isinstance(failure, WorkerRefused):
            return
        if failure.token_refused:
            self._worker.guard.require_confirmation()
            self._fence_requested.set()
        if failure.leaving and self._worker.mark_leaving():
            self._state.record_event("worker.leaving", self._worker.name)

    async def _serve_once(self) -> bool:
        """Fence if necessary, renew leases and wait for one report.

        :returns: False when one of these calls failed
        """
        if (
            self._worker.has_lost_answers
            or not self._worker.guard.may_dispatch(self._state.now)
        ):
            self._fence_requested.set()
        if self._fence_requested.is_set() and not await self._fence():
            return False
        if not await self._renew_leases():
            return False
        if not await self._poll_report():
            return False
        self._finalize_in_background()
        await self._stop_unwanted()
        return True

    def _finalize_in_background(self) -> None:
        """Store ends and requeue lost attempts without blocking the session.

        While the platform does not answer, each call to it takes seconds.
        Reports and renewals must not wait for it, or the leases of running
        tasks would expire.
        """
        if self._finalize_task is not None:
            if not self._finalize_task.done():
                return
            self._finalize_task.result()
        self._finalize_task = asyncio.create_task(self._finalize_attempts())

    async def _finalize_attempts(self) -> None:
        await self._finalizer.store_ends()
        await self._finalizer.requeue_missing(self._running_tasks_known)

    def _running_tasks_known(self) -> bool:
        return (
            self._reported_since_fence and not self._fence_requested.is_set()
        )

    async def _fence(self) -> bool:
        self._fence_requested.clear()
        token = self._worker.begin_fence()
        sent_at = self._state.now
        answer = await self._port.fence(self._state.settings.name, token)
        if self._worker.guard.revoked:
            return False
        if not isinstance(answer, Ok):
            self._handle_fence_failure(answer.err_value)
            return False
        if not answer.ok_value.guards:
            # A worker that answers ``guards`` false does not enforce the
            # fence, so it is given no work; no LeaseGuard is used for it.
            self._state.counters.count("workers_without_guards")
            self._mark_unreachable()
            return False
        self._leases.observe_clock(answer.ok_value.clock_s, self._state.now)
        self._leases.grant_lease()
        self._worker.inherit(answer.ok_value, sent_at)
        # The worker may have restarted and count sequences from zero again.
        # It repeats every end that was not acknowledged.
        self._last_sequence = 0
        self._reported_since_fence = False
        self._fenced_once = True
        self._renewed_at = None
        self._state.record_event(
            "worker.fenced", self._worker.name, token=token
        )
        self._state.notify_capacity()
        return True

    def _handle_fence_failure(self, failure: WorkerFailure) -> None:
        self._fence_requested.set()
        if isinstance(failure, WorkerRefused) and failure.token_refused:
            self._worker.guard.revoke()
            self._state.record_event("worker.lost", self._worker.name)
            return
        self._mark_unreachable()

    async def _renew_leases(self) -> bool:
        now = self._state.now
        settings = self._state.settings.tasks
        due = self._renewed_at is None or (
            now - self._renewed_at >= settings.renew_s
        )
        if not due:
            return True
        attempts = [
            (reservation.id, reservation.attempt)
            for reservation in self._worker.reservations
            if reservation.kind is WorkKind.TASK
        ]
        if attempts:
            renewed = await self._port.renew_leases(
                attempts, self._leases.grant_lease(), self._worker.guard.token
            )
            if not isinstance(renewed, Ok):
                self._handle_call_failure(renewed.err_value)
                return False
        self._renewed_at = now
        return True

    async def _poll_report(self) -> bool:
        """Wait for the next report or a request to fence again.

        The wait is short enough for leases to be renewed in time.
        """
        wait_s = min(
            self._state.settings.workers.report_wait_s,
            self._state.settings.tasks.renew_s / 2,
        )
        # The next poll acknowledges the ends that were stored meanwhile.
        if self._finalizer.unstored_end_count:
            wait_s = min(wait_s, 1.0)
        report_call = asyncio.create_task(
            self._port.report(
                self._last_sequence,
                wait_s,
                self._finalizer.acknowledged_sequence(self._last_sequence),
                self._worker.guard.token,
            )
        )
        fence_wait = asyncio.create_task(self._fence_requested.wait())
        try:
            await asyncio.wait(
                (report_call, fence_wait), return_when=asyncio.FIRST_COMPLETED
            )
            if not report_call.done():
                return True
            report = report_call.result()
        finally:
            fence_wait.cancel()
            report_call.cancel()
        if not isinstance(report, Ok):
            self._handle_call_failure(report.err_value)
            return False
        self._handle_report(report.ok_value)
        return True

    def _handle_report(self, report: WorkerReport) -> None:
        self._leases.observe_clock(report.clock_s, self._state.now)
        # Only a report made after the fence lists every end that preceded
        # the fence.
        self._reported_since_fence = self._worker.is_after_fence(report)
        if self._worker.set_reachable(True):
            self._state.record_event("worker.reachable", self._worker.name)
        if report.leaving and self._worker.mark_leaving():
            self._state.record_event("worker.leaving", self._worker.name)
        for ended in report.ended:
            reservation = self._worker.find(ended.id)
            if (
                reservation is not None
                and reservation.attempt == ended.attempt
            ):
                self._worker.release(ended.id)
        self._finalizer.add_ends(report.ended)
        self._worker.reconcile(report)
        if report.sequence != self._last_sequence:
            self._state.notify_capacity()
        self._last_sequence = report.sequence

    async def _stop_unwanted(self) -> None:
        """Stop cancelled tasks and orphans that are not current attempts.

        Orphans are executions of an earlier owner, or executions whose start
        was not answered.
        """
        orphans = {reservation.id for reservation in self._worker.orphans}
        for reservation in self._worker.reservations:
            key = (reservation.id, reservation.attempt)
            if reservation.kind is not WorkKind.TASK or key in self._stop_sent:
                continue
            if not self._should_stop(reservation, reservation.id in orphans):
                continue
            stopped = await self._port.stop_task(
                reservation.id, reservation.attempt, self._worker.guard.token
            )
            if isinstance(stopped, Ok):
                self._stop_sent.add(key)
                self._state.counters.count("tasks_stopped")

    def _should_stop(self, reservation: Reservation, is_orphan: bool) -> bool:
        job = self._state.jobs.find(reservation.id)
        if job is None:
            return is_orphan and self._state.jobs.is_known(reservation.id)
        if job.state is JobState.CANCELLING:
            return True
        return is_orphan and not job.is_current_attempt(
            self._worker.name, reservation.attempt
        )

    async def _requeue_lapsed(self) -> None:
        """Requeue attempts if every lease at the worker has expired.

        Only the owner can renew leases, and the write is conditional on this
        process still being the owner.
        """
        if not self._fenced_once or self._worker.reachable:
            return
        if not self._leases.all_expired(self._state.now):
            return
        await self._finalizer.requeue_lapsed()

    def _handle_call_failure(self, failure: WorkerFailure) -> None:
        self._fence_requested.set()
        if isinstance(failure, WorkerRefused) and failure.token_refused:
            # The worker restarted and refuses work until it is fenced.
            self._worker.guard.require_confirmation()
            return
        self._mark_unreachable()

    def _mark_unreachable(self) -> None:
        if self._worker.set_reachable(False):
            self._state.record_event("worker.unreachable", self._worker.name)

    async def _back_off(self) -> None:
        await asyncio.sleep(self._retry_delay_s * random.uniform(0.5, 1.0))
        self._retry_delay_s = min(self._retry_delay_s * 2, _RETRY_MAX_DELAY_S)
