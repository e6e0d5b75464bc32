"""Runs callers' requests on owned workers or through peers."""

from __future__ import annotations

import asyncio
from itertools import count
import random
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.entry.queue_waiters import QueueWaiters
from carawaystep.entry.request_result import RequestResult
from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.request.outcome import Outcome
from carawaystep.request.outcome_reason import OutcomeReason
from carawaystep.request.reply import Reply
from carawaystep.request.request import Request
from carawaystep.request.retry_budget import RetryBudget
from carawaystep.worker.reservation import Reservation
from carawaystep.worker.work_kind import WorkKind
from carawaystep.worker.worker_failure import WorkerFailed
from carawaystep.worker.worker_failure import WorkerOutcomeUnknown
from carawaystep.worker.worker_request import WorkerRequest

if TYPE_CHECKING:
    from carawaystep.document.service_spec import ServiceSpec
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.entry.peer_pool import PeerPool
    from carawaystep.entry.request_call import RequestCall
    from carawaystep.entry.supervisor import Supervisor
    from carawaystep.entry.worker_pool import WorkerPool
    from carawaystep.entry.worker_session import WorkerSession
    from carawaystep.request.duplicate_guard import DuplicateGuard

# Time to wait for a worker's answer after the caller's deadline. A call that
# is given up leaves its slot reserved until the next fence.
LATE_ANSWER_WAIT_S = 10.0

# Limit of dispatches in a row that are refused or have an unknown outcome.
# Refusals show that this process has outdated information; after this many
# failures the request waits for a change of capacity instead of trying another
# target.
_MAX_FAILED_DISPATCHES = 5
_REFUSED_BACKOFF_MAX_S = 0.05


class RequestDispatcher:
    """Places requests, retries idempotent ones and decides their replies.

    A request is dispatched to an owned worker with free capacity, else to a
    peer, else it waits in the admission queue until its deadline.
    """

    def __init__(
        self,
        state: EntryState,
        pool: WorkerPool,
        peer_pool: PeerPool,
        guard: DuplicateGuard,
        supervisor: Supervisor,
    ) -> None:
        """Create a dispatcher.

        :param state: shared state of the entry process
        :param pool: sessions with the owned workers
        :param peer_pool: sessions with peers
        :param guard: keeps a non-idempotent request from running twice
        :param supervisor: receives broken invariants of requests that ended
            after their reply
        """
        self._state = state
        self._worker_pool = pool
        self._peer_pool = peer_pool
        self._guard = guard
        self._supervisor = supervisor
        self._budget = RetryBudget(state.settings.requests.retry_ratio)
        self._queue_waiters = QueueWaiters(state)
        self._request_numbers = count(1)
        self._late_tasks: set[asyncio.Task[Reply]] = set()
        self._reply_writes: set[asyncio.Task[None]] = set()

    @property
    def queue_waiters(self) -> QueueWaiters:
        """Return the requests that wait for capacity."""
        return self._queue_waiters

    @property
    def in_flight_count(self) -> int:
        """Return the number of requests that are not complete.

        These are the requests without a reply, those that run on after their
        deadline and those whose reply is being stored.
        """
        return (
            self._state.requests_in_flight
            + len(self._late_tasks)
            + len(self._reply_writes)
        )

    async def run(self, spec: ServiceSpec, call: RequestCall) -> RequestResult:
        """Run a caller's request and return its only reply.

        :param spec: document in force of the service
        :param call: validated call
        """
        request_id = f"{self._state.incarnation}.{next(self._request_numbers)}"
        if self._state.draining:
            return RequestResult(request_id, _draining_reply())
        self._state.requests_in_flight += 1
        self._budget.record_request()
        try:
            reply = await self._run_accepted(request_id, spec, call)
        finally:
            self._state.requests_in_flight -= 1
        return RequestResult(request_id, reply)

    async def run_forwarded(
        self,
        request_id: str,
        spec: ServiceSpec,
        key: str | None,
        body: bytes,
        deadline_s: float,
    ) -> Reply:
        """Run a peer's request on an owned worker now, or not at all.

        The request is neither queued nor forwarded again.

        :param request_id: id given by the peer
        :param spec: document in force of the service in this process
        :param key: idempotency key of the caller
        :param body: body of the caller's request
        :param deadline_s: seconds until the deadline
        """
        if self._state.draining:
            return _draining_reply()
        deadline = self._state.now + deadline_s
        request = Request(request_id, spec, key, body, deadline)
        self._state.requests_in_flight += 1
        try:
            reply = await self._place(request, forward=False)
        finally:
            self._state.requests_in_flight -= 1
        if reply is None:
            return Reply.not_run(
                OutcomeReason.NO_ROOM,
                "The peer has no worker with free capacity.",
            )
        return reply

    async def _run_accepted(
        self, request_id: str, spec: ServiceSpec, call: RequestCall
    ) -> Reply:
        settings = self._state.settings.requests
        deadline_s = min(
            call.deadline_s or spec.deadline_s, settings.max_deadline_s
        )
        request = Request(
            request_id,
            spec,
            call.idempotency_key,
            call.body,
            self._state.now + deadline_s,
        )
        if not spec.idempotent:
            # Without a key no other request can be its duplicate, so the
            # unique request id serves as the key.
            key = call.idempotency_key or request_id
            return await self._run_guarded(request, key)
        reply = await self._serve_until_deadline(request)
        request.finish(reply)
        return reply

    async def _run_guarded(self, request: Request, key: str) -> Reply:
        """Run a non-idempotent request at most once across all entries."""
        service = request.spec.service
        claim = await self._guard.claim(service, key, request.id)
        if not claim.granted:
            self._state.counters.count("duplicates_refused")
            return claim.reply or Reply.unknown(
                OutcomeReason.DUPLICATE, "The idempotency key is in use."
            )
        reply = await self._serve_until_deadline(request)
        request.finish(reply)
        reply_write = asyncio.create_task(
            self._guard.record_reply(service, key, claim, reply)
        )
        self._reply_writes.add(reply_write)
        reply_write.add_done_callback(self._reply_writes.discard)
        if reply.outcome is Outcome.NOT_RUN:
            # The caller may repeat the request once it has this reply, so
            # the key must have been released before.
            await asyncio.shield(reply_write)
        return reply

    async def _serve_until_deadline(self, request: Request) -> Reply:
        """Return a reply at the deadline at the latest.

        A dispatch whose answer is still missing then goes on in the
        background, so that its capacity is released when the answer comes.
        """
        serving = asyncio.create_task(self._serve_until_replied(request))
        await asyncio.wait(
            (serving,), timeout=request.remaining_s(self._state.now)
        )
        if serving.done():
            return serving.result()
        if not request.may_have_run:
            # No dispatch may have run: the request is queued, or backs off
            # after a refusal, and both end about at the deadline.
            return await serving
        self._late_tasks.add(serving)
        serving.add_done_callback(self._drop_late_reply)
        return Reply.unknown(
            OutcomeReason.DEADLINE,
            "The deadline passed while the request was running.",
        )

    def _drop_late_reply(self, serving: asyncio.Task[Reply]) -> None:
        self._late_tasks.discard(serving)
        self._state.counters.count("late_answers_dropped")
        if serving.cancelled():
            return
        failure = serving.exception()
        if isinstance(failure, BrokenInvariant):
            self._supervisor.report_broken_invariant(failure)

    async def _serve_until_replied(self, request: Request) -> Reply:
        ticket = self._queue_waiters.ticket(request)
        try:
            while True:
                reply = None
                if self._queue_waiters.is_first(ticket):
                    reply = await self._place(request, forward=True)
                if reply is not None:
                    return reply
                if request.expired(self._state.now):
                    return self._deadline_reply(request)
                if not await self._queue_waiters.wait(ticket, request):
                    return self._shed_reply(request)
        finally:
            self._queue_waiters.leave(ticket)

    def _deadline_reply(self, request: Request) -> Reply:
        if request.may_have_run:
            return Reply.unknown(
                OutcomeReason.DEADLINE,
                "The deadline passed after a dispatch with unknown outcome.",
            )
        return Reply.not_run(
            OutcomeReason.DEADLINE,
            "No worker had free capacity before the deadline; send the "
            "request again later or with a longer deadline.",
        )

    def _shed_reply(self, request: Request) -> Reply:
        self._state.counters.count("requests_shed")
        if request.may_have_run:
            return self._deadline_reply(request)
        return Reply.not_run(
            OutcomeReason.SHED,
            "Too many requests of the same or a higher urgency are waiting; "
            "send the request again later.",
        )

    async def _place(self, request: Request, forward: bool) -> Reply | None:
        """Dispatch a request to owned workers, then to peers.

        :param request: request to dispatch
        :param forward: whether peers may be tried; without them the request
            is not retried either
        :returns: the reply, None when the request may be tried again later
        """
        tried: set[str] = set()
        failed_dispatches = 0
        while request.may_dispatch(self._state.now):
            session = self._worker_pool.choose(
                request.spec.needs,
                WorkKind.REQUEST,
                self._state.now,
                frozenset(tried),
            )
            peer = None
            if session is not None:
                reply = await self._send_to_worker(session, request)
                tried.add(session.worker.name)
            elif forward and (
                peer := self._peer_pool.choose(self._state.now, tried)
            ):
                reply = await self._send_to_peer(peer, request)
                tried.add(peer)
            else:
                return None
            if self._finish_dispatch(reply, request, forward):
                return reply
            failed_dispatches += 1
            if failed_dispatches >= _MAX_FAILED_DISPATCHES:
                return None
        return None

    def _finish_dispatch(
        self, reply: Reply, request: Request, forward: bool
    ) -> bool:
        """Record the end of a dispatch; return whether it ends the request.

        An idempotent request with an unknown outcome is retried while its
        deadline and the retry budget allow it. A request that came from a
        peer, for which ``forward`` is False, is not retried.
        """
        if reply.outcome is Outcome.ANSWERED:
            return True
        if reply.outcome is Outcome.NOT_RUN:
            return False
        request.mark_outcome_unknown()
        if not request.spec.idempotent or not forward:
            return True
        if request.expired(self._state.now) or not self._budget.try_consume():
            return True
        self._state.counters.count("requests_retried")
        return False

    async def _send_to_worker(
        self, session: WorkerSession, request: Request
    ) -> Reply:
        now = self._state.now
        dispatch_id = request.begin_dispatch(now)
        needs = request.spec.needs
        worker = session.worker
        reservation = Reservation(dispatch_id, WorkKind.REQUEST, 0, needs)
        if not worker.reserve(reservation, now):
            request.mark_dispatch_refused()
            return Reply.not_run(
                OutcomeReason.NO_ROOM, "The worker has no free capacity."
            )
        answer = await session.port.run_request(
            WorkerRequest(
                dispatch_id,
                request.spec.service,
                request.idempotency_key,
                needs,
                request.body,
            ),
            worker.guard.token,
            request.remaining_s(now) + LATE_ANSWER_WAIT_S,
        )
        if isinstance(answer, Ok):
            worker.release(dispatch_id)
            self._state.notify_capacity()
            return Reply.answered(answer.ok_value)
        failure = answer.err_value
        if isinstance(failure, WorkerOutcomeUnknown):
            worker.mark_answer_lost(dispatch_id)
            session.handle_dispatch_failure(failure)
            return Reply.unknown(OutcomeReason.WORKER_SILENT, failure.detail)
        worker.release(dispatch_id)
        if isinstance(failure, WorkerFailed):
            return Reply.unknown(OutcomeReason.WORKER_FAILED, failure.detail)
        session.handle_dispatch_failure(failure)
        request.mark_dispatch_refused()
        self._state.counters.count("dispatches_refused")
        await asyncio.sleep(_REFUSED_BACKOFF_MAX_S * random.random())
        return Reply.not_run(OutcomeReason.WORKER_REFUSED, failure.detail)

    async def _send_to_peer(self, peer: str, request: Request) -> Reply:
        dispatch_id = request.begin_dispatch(self._state.now)
        self._state.counters.count("requests_forwarded")
        reply = await self._peer_pool.forward(peer, request, dispatch_id)
        if reply.outcome is Outcome.NOT_RUN:
            request.mark_dispatch_refused()
        return reply


def _draining_reply() -> Reply:
    return Reply.not_run(
        OutcomeReason.DRAINING,
        "This entry is draining; send the request to another one.",
    )
