"""One entry process, without its front ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar

from carawaystep.entry.assigned_jobs_reader import AssignedJobsReader
from carawaystep.entry.bootstrap import Bootstrap
from carawaystep.entry.document_follower import DocumentFollower
from carawaystep.entry.document_writer import DocumentWriter
from carawaystep.entry.entries_follower import EntriesFollower
from carawaystep.entry.entry_phase import EntryPhase
from carawaystep.entry.entry_service import EntryService
from carawaystep.entry.entry_state import EntryState
from carawaystep.entry.heartbeater import Heartbeater
from carawaystep.entry.job_claimer import JobClaimer
from carawaystep.entry.job_desk import JobDesk
from carawaystep.entry.job_recorder import JobRecorder
from carawaystep.entry.jobs_follower import JobsFollower
from carawaystep.entry.lost_worker_recovery import LostWorkerRecovery
from carawaystep.entry.owners_follower import OwnersFollower
from carawaystep.entry.ownership_keeper import OwnershipKeeper
from carawaystep.entry.peer_links import PeerLinks
from carawaystep.entry.peer_service import PeerService
from carawaystep.entry.request_dispatcher import RequestDispatcher
from carawaystep.entry.request_result import RequestResult
from carawaystep.entry.standing_keeper import StandingKeeper
from carawaystep.entry.supervisor import Supervisor
from carawaystep.entry.vm_follower import VmFollower
from carawaystep.entry.worker_pool import WorkerPool
from carawaystep.request.outcome_reason import OutcomeReason
from carawaystep.request.reply import Reply
from carawaystep.request.table_duplicate_guard import TableDuplicateGuard

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from typing import Any

    from result import Result

    from carawaystep.document.service_spec import ServiceSpec
    from carawaystep.document.stored_document import StoredDocument
    from carawaystep.entry.call_failure import CallFailure
    from carawaystep.entry.counters import Counters
    from carawaystep.entry.document_commit import DocumentCommit
    from carawaystep.entry.document_status import DocumentStatus
    from carawaystep.entry.job_call import JobCall
    from carawaystep.entry.ports import Ports
    from carawaystep.entry.request_call import RequestCall
    from carawaystep.job.job import Job
    from carawaystep.peer.peer_handler import PeerHandler
    from carawaystep.settings.entry_settings import EntrySettings
    from carawaystep.timeline.event_ring import EventRing
    from carawaystep.timeline.timeline_event import TimelineEvent

_DRAIN_POLL_S = 0.05

_Value = TypeVar("_Value")


class EntryNode(EntryService):
    """Composition of the aggregates and the tasks that serve them."""

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: str,
        ports: Ports,
        counters: Counters,
        events: EventRing,
    ) -> None:
        """Create a process that has not started.

        :param settings: settings of the process
        :param incarnation: id of the process, never used before
        :param ports: its adapters
        :param counters: its counters
        :param events: its part of the time line
        """
        state = EntryState(settings, incarnation, ports, counters, events)
        self._state = state
        self._supervisor = Supervisor(counters)
        self._changing = 0
        self._pool = WorkerPool(state)
        self._recorder = JobRecorder(state)
        self._documents = DocumentFollower(state)
        self._near_entries = EntriesFollower(state, own_zone_only=True)
        self._far_entries = EntriesFollower(state, own_zone_only=False)
        self._owners = OwnersFollower(state)
        self._jobs = JobsFollower(state)
        self._vms = VmFollower(state)
        self._heartbeater = Heartbeater(state)
        self._links = PeerLinks(state, self._supervisor)
        self._dispatcher = RequestDispatcher(
            state,
            self._pool,
            self._links,
            TableDuplicateGuard(ports.table),
            self._supervisor,
        )
        self._keeper = OwnershipKeeper(
            state, self._pool, self._recorder, self._owners, self._supervisor
        )
        self._claimer = JobClaimer(
            state, self._pool, self._recorder, self._jobs
        )
        self._standing = StandingKeeper(state, self._recorder, self._jobs)
        self._assigned_jobs = AssignedJobsReader(state, self._pool)
        self._recovery = LostWorkerRecovery(state, self._recorder)
        self._job_desk = JobDesk(state, self._recorder)
        self._document_writer = DocumentWriter(state)
        self._peer_service = PeerService(state, self._dispatcher)

    @property
    def ready(self) -> bool:
        """Tell whether the process takes requests."""
        return self._state.lifecycle.phase is EntryPhase.SERVING

    @property
    def supervisor(self) -> Supervisor:
        """Return the supervisor, to which front ends report."""
        return self._supervisor

    @property
    def peer_handler(self) -> PeerHandler:
        """Return what answers other entries."""
        return self._peer_service

    async def start(self) -> None:
        """Start all tasks; return once requests are taken."""
        state = self._state
        await Bootstrap(state, self._documents, self._vms).run()
        await self._heartbeater.beat_once()
        for follower in (
            self._near_entries,
            self._far_entries,
            self._owners,
            self._jobs,
        ):
            await follower.read_all()
        self._spawn_tasks()
        state.lifecycle.advance("serve")
        state.record("entry.serving", state.settings.name)

    async def replaced(self) -> None:
        """Wait until another process has taken this entry's name."""
        await self._heartbeater.replaced()

    async def drain(self) -> bool:
        """Finish what is in flight and hand all workers over.

        :returns: False when the drain limit cut work off
        """
        state = self._state
        state.lifecycle.advance("drain")
        state.record("entry.draining", state.settings.name)
        await self._heartbeater.beat_once()
        deadline = state.now + state.settings.drain_limit_s
        cut_off = await self._finish_in_flight(deadline)
        await self._keeper.hand_over_all()
        await self._heartbeater.withdraw()
        state.record("entry.drained", state.settings.name, cut_off=cut_off)
        return cut_off == 0

    async def stop(self) -> None:
        """End all tasks."""
        await self._supervisor.stop()
        self._state.lifecycle.advance("stop")

    def spec(self, service: str) -> ServiceSpec | None:
        """Return the document in force of a service, None when unknown."""
        return self._state.spec(service)

    async def run_request(self, call: RequestCall) -> RequestResult:
        """Run a request of a latency-critical service."""
        spec = self._state.spec(call.service)
        if spec is None:
            return RequestResult(
                "",
                Reply.not_run(
                    OutcomeReason.NO_ROOM,
                    f"No document of service {call.service!r} is in force.",
                ),
            )
        return await self._dispatcher.run(spec, call)

    async def submit_job(self, call: JobCall) -> Result[Job, CallFailure]:
        """Accept a job; it is stored when this returns Ok."""
        return await self._finish(self._job_desk.submit(call))

    async def find_job(self, job_id: str) -> Result[Job, CallFailure]:
        """Return a job."""
        return await self._job_desk.find(job_id)

    async def cancel_job(self, job_id: str) -> Result[Job, CallFailure]:
        """Cancel a job; one that has ended stays as it is."""
        return await self._finish(self._job_desk.cancel(job_id))

    def documents(self) -> tuple[StoredDocument, ...]:
        """Return all documents in force, ordered by service."""
        return tuple(
            sorted(
                self._state.documents.documents,
                key=lambda document: document.service,
            )
        )

    async def put_document(
        self, service: str, text: str, expected: int, team: str | None
    ) -> Result[DocumentCommit, CallFailure]:
        """Validate and store a document."""
        return await self._finish(
            self._document_writer.put(service, text, expected, team)
        )

    async def document_status(
        self, service: str
    ) -> Result[DocumentStatus, CallFailure]:
        """Tell where the newest version of a document is in force."""
        return await self._document_writer.status(service)

    def status(self) -> dict[str, Any]:
        """Return workers, queues and peers as JSON values."""
        state = self._state
        return {
            "entry": state.settings.name,
            "incarnation": state.incarnation,
            "availability_zone": state.settings.availability_zone,
            "phase": state.lifecycle.phase.value,
            "platform_reachable": state.platform_reachable,
            "documents_revision": state.documents.revision,
            "requests_in_flight": state.requests_in_flight,
            "requests_waiting": len(state.queue),
            "jobs_queued": state.jobs.queued_count,
            "jobs_known": len(state.jobs),
            "ends_not_stored": self._pool.unrecorded,
            "peers": [
                {
                    "name": name,
                    "connected": state.zone.load_of(name, state.now)
                    is not None,
                }
                for name in self._links.peers
            ],
            "workers": [
                {
                    "name": worker.name,
                    "epoch": worker.guard.epoch,
                    "usable": worker.can_accept_work(state.now),
                    "reachable": worker.reachable,
                    "leaving": worker.leaving,
                    "free_slots": worker.free_slots,
                    "tasks": worker.task_count,
                }
                for worker in state.workers.values()
            ],
        }

    def timeline(self, since_s: float) -> tuple[float, list[TimelineEvent]]:
        """Return the present monotonic time and recent events."""
        now = self._state.now
        return now, self._state.events.since(now - since_s)

    def _spawn_tasks(self) -> None:
        for name, part in (
            ("documents", self._documents),
            ("near entries", self._near_entries),
            ("far entries", self._far_entries),
            ("owners", self._owners),
            ("jobs", self._jobs),
            ("VM list", self._vms),
            ("heartbeat", self._heartbeater),
            ("peers", self._links),
            ("ownership", self._keeper),
            ("claims", self._claimer),
            ("assigned jobs", self._assigned_jobs),
            ("standing services", self._standing),
            ("lost workers", self._recovery),
            ("waiting requests", self._dispatcher.room),
        ):
            self._supervisor.spawn(name, part.run)

    async def _finish_in_flight(self, deadline: float) -> int:
        """Wait until nothing is in flight, and return what is left."""
        while True:
            left = self._in_flight()
            if left == 0 or self._state.now >= deadline:
                return left
            await asyncio.sleep(_DRAIN_POLL_S)

    def _in_flight(self) -> int:
        return self._dispatcher.busy + self._pool.unrecorded + self._changing

    async def _finish(self, call: Awaitable[_Value]) -> _Value:
        """Run a call that changes a row; a planned stop waits for it."""
        self._changing += 1
        try:
            return await call
        finally:
            self._changing -= 1
