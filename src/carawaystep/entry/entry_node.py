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
from carawaystep.entry.gone_vm_recovery import GoneVmRecovery
from carawaystep.entry.heartbeater import Heartbeater
from carawaystep.entry.job_claimer import JobClaimer
from carawaystep.entry.job_repository import JobRepository
from carawaystep.entry.job_service import JobService
from carawaystep.entry.jobs_follower import JobsFollower
from carawaystep.entry.owners_follower import OwnersFollower
from carawaystep.entry.ownership_reconciler import OwnershipReconciler
from carawaystep.entry.peer_pool import PeerPool
from carawaystep.entry.peer_service import PeerService
from carawaystep.entry.replica_reconciler import ReplicaReconciler
from carawaystep.entry.request_dispatcher import RequestDispatcher
from carawaystep.entry.request_result import RequestResult
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

_DRAIN_POLL_INTERVAL_S = 0.05

_Value = TypeVar("_Value")


class EntryNode(EntryService):
    """Composes the shared state and the tasks of one process.

    It implements the operations that front ends call, and controls the start
    and the drain of the process.
    """

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: str,
        ports: Ports,
        counters: Counters,
        events: EventRing,
    ) -> None:
        """Create a node that has not started.

        :param settings: settings of the process
        :param incarnation: unique id of this process
        :param ports: adapters to the clock, the platform, workers and peers
        :param counters: counters of the process
        :param events: timeline events of the process
        """
        state = EntryState(settings, incarnation, ports, counters, events)
        self._state = state
        self._supervisor = Supervisor(counters)
        self._writes_in_flight = 0
        self._pool = WorkerPool(state)
        self._repository = JobRepository(state)
        self._document_follower = DocumentFollower(state)
        self._own_zone_follower = EntriesFollower(state, own_zone_only=True)
        self._all_zones_follower = EntriesFollower(state, own_zone_only=False)
        self._owners_follower = OwnersFollower(state)
        self._jobs_follower = JobsFollower(state)
        self._vm_follower = VmFollower(state)
        self._heartbeater = Heartbeater(state)
        self._peer_pool = PeerPool(state, self._supervisor)
        self._dispatcher = RequestDispatcher(
            state,
            self._pool,
            self._peer_pool,
            TableDuplicateGuard(ports.store),
            self._supervisor,
        )
        self._ownership_reconciler = OwnershipReconciler(
            state,
            self._pool,
            self._repository,
            self._owners_follower,
            self._supervisor,
        )
        self._claimer = JobClaimer(
            state, self._pool, self._repository, self._jobs_follower
        )
        self._replica_reconciler = ReplicaReconciler(
            state, self._repository, self._jobs_follower
        )
        self._assigned_jobs_reader = AssignedJobsReader(state, self._pool)
        self._gone_vm_recovery = GoneVmRecovery(state, self._repository)
        self._job_service = JobService(state, self._repository)
        self._document_writer = DocumentWriter(state)
        self._peer_service = PeerService(state, self._dispatcher)

    @property
    def ready(self) -> bool:
        """Return whether the process accepts requests."""
        return self._state.lifecycle.phase is EntryPhase.SERVING

    @property
    def supervisor(self) -> Supervisor:
        """Return the supervisor, which front ends report failures to."""
        return self._supervisor

    @property
    def peer_handler(self) -> PeerHandler:
        """Return the handler of messages from other entries."""
        return self._peer_service

    async def start(self) -> None:
        """Start all tasks; return once requests are accepted."""
        state = self._state
        await Bootstrap(
            state, self._document_follower, self._vm_follower
        ).run()
        await self._heartbeater.write_heartbeat()
        for follower in (
            self._own_zone_follower,
            self._all_zones_follower,
            self._owners_follower,
            self._jobs_follower,
        ):
            await follower.read_all()
        self._spawn_tasks()
        state.lifecycle.advance("serve")
        state.record_event("entry.serving", state.settings.name)

    async def wait_replaced(self) -> None:
        """Wait until another process has taken this entry's name."""
        await self._heartbeater.wait_replaced()

    async def drain(self) -> bool:
        """Wait for the work in flight and hand over all workers.

        :returns: False when work was left at the drain limit
        """
        state = self._state
        state.lifecycle.advance("drain")
        state.record_event("entry.draining", state.settings.name)
        await self._heartbeater.write_heartbeat()
        deadline = state.now + state.settings.drain_limit_s
        unfinished_count = await self._wait_until_idle(deadline)
        await self._ownership_reconciler.hand_over_all()
        await self._heartbeater.delete_row()
        state.record_event(
            "entry.drained", state.settings.name, cut_off=unfinished_count
        )
        return unfinished_count == 0

    async def stop(self) -> None:
        """Cancel all tasks."""
        await self._supervisor.stop()
        self._state.lifecycle.advance("stop")

    def spec(self, service: str) -> ServiceSpec | None:
        """Return the spec of the document in force, None if there is none."""
        return self._state.spec(service)

    async def run_request(self, call: RequestCall) -> RequestResult:
        """Run a request of a latency-critical service."""
        spec = self._state.spec(call.service)
        if spec is None:
            # There is no OutcomeReason for an unknown service.
            return RequestResult(
                "",
                Reply.not_run(
                    OutcomeReason.NO_ROOM,
                    f"No document of service {call.service!r} is in force.",
                ),
            )
        return await self._dispatcher.run(spec, call)

    async def submit_job(self, call: JobCall) -> Result[Job, CallFailure]:
        """Accept a job; its row is stored when this returns Ok."""
        return await self._track_write(self._job_service.submit(call))

    async def find_job(self, job_id: str) -> Result[Job, CallFailure]:
        """Return the latest version of a job."""
        return await self._job_service.find(job_id)

    async def cancel_job(self, job_id: str) -> Result[Job, CallFailure]:
        """Cancel a job; ended jobs and standing replicas stay unchanged."""
        return await self._track_write(self._job_service.cancel(job_id))

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
        return await self._track_write(
            self._document_writer.put(service, text, expected, team)
        )

    async def document_status(
        self, service: str
    ) -> Result[DocumentStatus, CallFailure]:
        """Report in which entries the latest version is in force."""
        return await self._document_writer.status(service)

    def status(self) -> dict[str, Any]:
        """Return the state of workers, queues and peers as JSON values."""
        state = self._state
        # A peer is shown as connected while its load is known and not stale.
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
            "ends_not_stored": self._pool.unstored_end_count,
            "peers": [
                {
                    "name": name,
                    "connected": state.fleet_view.load_of(name, state.now)
                    is not None,
                }
                for name in self._peer_pool.peers
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
        """Return the current monotonic time and recent events."""
        now = self._state.now
        return now, self._state.events.since(now - since_s)

    def _spawn_tasks(self) -> None:
        for name, component in (
            ("documents", self._document_follower),
            ("own zone entries", self._own_zone_follower),
            ("all entries", self._all_zones_follower),
            ("owners", self._owners_follower),
            ("jobs", self._jobs_follower),
            ("VM list", self._vm_follower),
            ("heartbeat", self._heartbeater),
            ("peers", self._peer_pool),
            ("ownership", self._ownership_reconciler),
            ("claims", self._claimer),
            ("assigned jobs", self._assigned_jobs_reader),
            ("standing services", self._replica_reconciler),
            ("gone VMs", self._gone_vm_recovery),
            ("waiting requests", self._dispatcher.queue_waiters),
        ):
            self._supervisor.spawn(name, component.run)

    async def _wait_until_idle(self, deadline: float) -> int:
        """Wait until no work is in flight or the deadline has passed.

        :returns: number of requests, ends and writes still in flight
        """
        while True:
            remaining = self._in_flight_count()
            if remaining == 0 or self._state.now >= deadline:
                return remaining
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)

    def _in_flight_count(self) -> int:
        return (
            self._dispatcher.in_flight_count
            + self._pool.unstored_end_count
            + self._writes_in_flight
        )

    async def _track_write(self, call: Awaitable[_Value]) -> _Value:
        """Run a call that writes a row; a drain waits until it ends."""
        self._writes_in_flight += 1
        try:
            return await call
        finally:
            self._writes_in_flight -= 1
