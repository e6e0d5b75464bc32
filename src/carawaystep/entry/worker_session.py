"""One task for each owned worker."""

from __future__ import annotations

import asyncio
from dataclasses import replace
import random
from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.entry.attempt_settler import AttemptSettler
from carawaystep.job.job_state import JobState
from carawaystep.worker.lease_tracker import LeaseTracker
from carawaystep.worker.work_kind import WorkKind
from carawaystep.worker.worker_failure import WorkerOutcomeUnknown
from carawaystep.worker.worker_failure import WorkerRefused

if TYPE_CHECKING:
    from result import Result

    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.job_recorder import JobRecorder
    from carawaystep.membership.ownership import Ownership
    from carawaystep.worker.reservation import Reservation
    from carawaystep.worker.worker import Worker
    from carawaystep.worker.worker_failure import WorkerFailure
    from carawaystep.worker.worker_port import WorkerPort
    from carawaystep.worker.worker_report import WorkerReport
    from carawaystep.worker.worker_task import WorkerTask

_RETRY_FIRST_S = 0.1
_RETRY_LIMIT_S = 2.0


class WorkerSession:
    """Fences a worker, follows its reports and renews its leases."""

    def __init__(
        self,
        state: EntryState,
        recorder: JobRecorder,
        worker: Worker,
        port: WorkerPort,
        ownership: Ownership,
    ) -> None:
        """Create a session for one ownership.

        :param state: state of the process
        :param recorder: writes the ends of jobs
        :param worker: the worker's aggregate
        :param port: port to the worker
        :param ownership: the row that makes this process its owner
        """
        self._state = state
        self._worker = worker
        self._port = port
        self._ownership = ownership
        self._since = 0
        self._renewed_at: float | None = None
        self._settler = AttemptSettler(state, recorder, worker, ownership)
        self._stopped: set[tuple[str, int]] = set()
        self._fenced = False
        self._reported = False
        self._settling: asyncio.Task[None] | None = None
        self._terms = LeaseTracker(
            state.settings.tasks.lease_s, state.settings.tasks.margin_s
        )
        self._fence_wanted = asyncio.Event()
        self._retry_s = _RETRY_FIRST_S

    @property
    def worker(self) -> Worker:
        """Return the worker's aggregate."""
        return self._worker

    @property
    def port(self) -> WorkerPort:
        """Return the port to the worker."""
        return self._port

    @property
    def ownership(self) -> Ownership:
        """Return the row that makes this process the owner."""
        return self._ownership

    @property
    def unrecorded(self) -> int:
        """Return the number of ended tasks that are not yet stored."""
        return self._settler.pending

    async def run(self) -> None:
        """Serve the worker until ownership is lost or the task cancelled."""
        try:
            while not self._worker.guard.revoked:
                if await self._serve_once():
                    self._retry_s = _RETRY_FIRST_S
                    continue
                self._settle_in_background()
                await self._requeue_lapsed()
                await self._pause()
        finally:
            if self._settling is not None:
                self._settling.cancel()
            await self._port.close()

    async def start_task(
        self, task: WorkerTask, token: int
    ) -> Result[None, WorkerFailure]:
        """Send an attempt to the worker, under a new lease.

        :param task: the attempt, with a reservation
        :param token: fence token at the time of the reservation; a later
            fence has dropped the reservation, because nothing was sent yet
        """
        if token != self._worker.guard.token:
            return Err(WorkerRefused("fenced since the reservation"))
        if self._worker.leaving:
            self._worker.release(task.id)
            return Err(WorkerRefused("leaving since the reservation"))
        started = await self._port.start_task(
            replace(task, lease_until_s=self._terms.grant_lease()), token
        )
        if isinstance(started, Ok):
            return started
        failure = started.err_value
        if isinstance(failure, WorkerOutcomeUnknown):
            self._worker.mark_answer_lost(task.id)
        else:
            self._worker.release(task.id)
        self.note_failure(failure)
        return started

    def note_failure(self, failure: WorkerFailure) -> None:
        """Act on a failed dispatch: fence again, or stop placing here."""
        if isinstance(failure, WorkerOutcomeUnknown):
            self._fence_wanted.set()
            return
        if not isinstance(failure, WorkerRefused):
            return
        if failure.stale_epoch:
            self._worker.guard.invalidate()
            self._fence_wanted.set()
        if failure.leaving and self._worker.mark_leaving():
            self._state.record("worker.leaving", self._worker.name)

    async def _serve_once(self) -> bool:
        if (
            self._worker.has_lost_answers
            or not self._worker.guard.may_dispatch(self._state.now)
        ):
            self._fence_wanted.set()
        if self._fence_wanted.is_set() and not await self._fence():
            return False
        if not await self._renew_leases():
            return False
        if not await self._follow_report():
            return False
        self._settle_in_background()
        await self._stop_unwanted()
        return True

    def _settle_in_background(self) -> None:
        """Store ends while the worker is served on.

        A silent platform takes seconds for each call. Reports and renewals
        must not wait for it, or running tasks would lose their leases.
        """
        if self._settling is not None:
            if not self._settling.done():
                return
            self._settling.result()
        self._settling = asyncio.create_task(self._settle())

    async def _settle(self) -> None:
        await self._settler.store_ends()
        await self._settler.requeue_missing(self._knows_what_runs)

    def _knows_what_runs(self) -> bool:
        return self._reported and not self._fence_wanted.is_set()

    async def _fence(self) -> bool:
        self._fence_wanted.clear()
        token = self._worker.begin_fence()
        sent_at = self._state.now
        answer = await self._port.fence(self._state.settings.name, token)
        if self._worker.guard.revoked:
            return False
        if not isinstance(answer, Ok):
            self._fence_failed(answer.err_value)
            return False
        if not answer.ok_value.guards:
            # Without guards the fence protects nothing, so no work is given.
            self._state.counters.count("workers_without_guards")
            self._mark_unreachable()
            return False
        self._terms.observe_clock(answer.ok_value.clock_s, self._state.now)
        self._terms.grant_lease()
        self._worker.inherit(answer.ok_value, sent_at)
        # The worker may have restarted, and its sequences with it; it tells
        # every end again that was not acknowledged.
        self._since = 0
        self._reported = False
        self._fenced = True
        self._renewed_at = None
        self._state.record("worker.fenced", self._worker.name, token=token)
        self._state.notify_room()
        return True

    def _fence_failed(self, failure: WorkerFailure) -> None:
        self._fence_wanted.set()
        if isinstance(failure, WorkerRefused) and failure.stale_epoch:
            self._worker.guard.revoke()
            self._state.record("worker.lost", self._worker.name)
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
            (held.id, held.attempt)
            for held in self._worker.reservations
            if held.kind is WorkKind.TASK
        ]
        if attempts:
            renewed = await self._port.renew_leases(
                attempts, self._terms.grant_lease(), self._worker.guard.token
            )
            if not isinstance(renewed, Ok):
                self._call_failed(renewed.err_value)
                return False
        self._renewed_at = now
        return True

    async def _follow_report(self) -> bool:
        """Wait for the next report, or until a fence is wanted."""
        wait_s = min(
            self._state.settings.workers.report_wait_s,
            self._state.settings.tasks.renew_s / 2,
        )
        if self._settler.pending:
            wait_s = min(wait_s, 1.0)
        poll = asyncio.create_task(
            self._port.report(
                self._since,
                wait_s,
                self._settler.acknowledged(self._since),
                self._worker.guard.token,
            )
        )
        wanted = asyncio.create_task(self._fence_wanted.wait())
        try:
            await asyncio.wait(
                (poll, wanted), return_when=asyncio.FIRST_COMPLETED
            )
            if not poll.done():
                return True
            report = poll.result()
        finally:
            wanted.cancel()
            poll.cancel()
        if not isinstance(report, Ok):
            self._call_failed(report.err_value)
            return False
        self._take_report(report.ok_value)
        return True

    def _take_report(self, report: WorkerReport) -> None:
        self._terms.observe_clock(report.clock_s, self._state.now)
        # Ends from before the fence are known only from a later report.
        self._reported = self._worker.is_after_fence(report)
        if self._worker.set_reachable(True):
            self._state.record("worker.reachable", self._worker.name)
        if report.leaving and self._worker.mark_leaving():
            self._state.record("worker.leaving", self._worker.name)
        for ended in report.ended:
            held = self._worker.find(ended.id)
            if held is not None and held.attempt == ended.attempt:
                self._worker.release(ended.id)
        self._settler.take(report.ended)
        self._worker.reconcile(report)
        if report.sequence != self._since:
            self._state.notify_room()
        self._since = report.sequence

    async def _stop_unwanted(self) -> None:
        """Stop cancelled tasks, and inherited ones that were replaced."""
        orphans = {held.id for held in self._worker.orphans}
        for held in self._worker.reservations:
            key = (held.id, held.attempt)
            if held.kind is not WorkKind.TASK or key in self._stopped:
                continue
            if not self._unwanted(held, held.id in orphans):
                continue
            stopped = await self._port.stop_task(
                held.id, held.attempt, self._worker.guard.token
            )
            if isinstance(stopped, Ok):
                self._stopped.add(key)
                self._state.counters.count("tasks_stopped")

    def _unwanted(self, held: Reservation, orphan: bool) -> bool:
        job = self._state.jobs.find(held.id)
        if job is None:
            return orphan and self._state.jobs.is_known(held.id)
        if job.state is JobState.CANCELLING:
            return True
        return orphan and not job.is_current_attempt(
            self._worker.name, held.attempt
        )

    async def _requeue_lapsed(self) -> None:
        """Requeue attempts whose lease has certainly ended.

        Only this owner can renew them, and the write checks that it still is
        the owner.
        """
        if not self._fenced or self._worker.reachable:
            return
        if not self._terms.all_expired(self._state.now):
            return
        await self._settler.requeue_lapsed()

    def _call_failed(self, failure: WorkerFailure) -> None:
        self._fence_wanted.set()
        if isinstance(failure, WorkerRefused) and failure.stale_epoch:
            # The worker restarted, and refuses work too until it is fenced.
            self._worker.guard.invalidate()
            return
        self._mark_unreachable()

    def _mark_unreachable(self) -> None:
        if self._worker.set_reachable(False):
            self._state.record("worker.unreachable", self._worker.name)

    async def _pause(self) -> None:
        await asyncio.sleep(self._retry_s * random.uniform(0.5, 1.0))
        self._retry_s = min(self._retry_s * 2, _RETRY_LIMIT_S)
