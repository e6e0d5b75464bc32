"""Runs callers' requests on own workers or through peers."""

from __future__ import annotations

import asyncio
from itertools import count
import random
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.entry.request_result import RequestResult
from carawaystep.entry.waiting_room import WaitingRoom
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
    from carawaystep.entry.peer_links import PeerLinks
    from carawaystep.entry.request_call import RequestCall
    from carawaystep.entry.supervisor import Supervisor
    from carawaystep.entry.worker_pool import WorkerPool
    from carawaystep.entry.worker_session import WorkerSession
    from carawaystep.request.duplicate_guard import DuplicateGuard

# A worker's answer is awaited beyond the caller's deadline, because a call
# that is given up leaves its slot in doubt until the next fence.
LATE_ANSWER_S = 10.0

# Refusals say that this process's view is behind; after a few of them the
# request waits for news instead of asking again.
_MAX_REFUSALS = 5
_REFUSED_PAUSE_S = 0.05


class RequestDispatcher:
    """Places requests, retries idempotent ones and decides their replies."""

    def __init__(
        self,
        state: EntryState,
        pool: WorkerPool,
        links: PeerLinks,
        guard: DuplicateGuard,
        supervisor: Supervisor,
    ) -> None:
        """Create a dispatcher.

        :param state: state of the process
        :param pool: sessions with own workers
        :param links: links to peers
        :param guard: protects non-idempotent requests
        :param supervisor: is told of broken invariants in late answers
        """
        self._state = state
        self._pool = pool
        self._links = links
        self._guard = guard
        self._supervisor = supervisor
        self._budget = RetryBudget(state.settings.requests.retry_ratio)
        self._room = WaitingRoom(state)
        self._numbers = count(1)
        self._late: set[asyncio.Task[Reply]] = set()
        self._settling: set[asyncio.Task[None]] = set()

    @property
    def room(self) -> WaitingRoom:
        """Return the waiting requests."""
        return self._room

    @property
    def busy(self) -> int:
        """Return requests that run or whose reply is being stored."""
        return (
            self._state.requests_in_flight
            + len(self._late)
            + len(self._settling)
        )

    async def run(self, spec: ServiceSpec, call: RequestCall) -> RequestResult:
        """Run a caller's request and return its only reply.

        :param spec: the service's document in force
        :param call: the validated call
        """
        request_id = f"{self._state.incarnation}.{next(self._numbers)}"
        if self._state.draining:
            return RequestResult(request_id, _draining())
        self._state.requests_in_flight += 1
        self._budget.record_request()
        try:
            reply = await self._run_once(request_id, spec, call)
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
        """Run a peer's request on an own worker at once, or not at all.

        :param request_id: id given by the peer
        :param spec: the service's document in force here
        :param key: the caller's idempotency key
        :param body: the caller's body
        :param deadline_s: seconds until the deadline
        """
        if self._state.draining:
            return _draining()
        deadline = self._state.now + deadline_s
        request = Request(request_id, spec, key, body, deadline)
        self._state.requests_in_flight += 1
        try:
            reply = await self._place(request, forward=False)
        finally:
            self._state.requests_in_flight -= 1
        if reply is None:
            return Reply.not_run(
                OutcomeReason.NO_ROOM, "The other entry has no free worker."
            )
        return reply

    async def _run_once(
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
            key = call.idempotency_key or request_id
            return await self._run_guarded(request, key)
        reply = await self._serve(request)
        request.finish(reply)
        return reply

    async def _run_guarded(self, request: Request, key: str) -> Reply:
        """Run a non-idempotent request, once for all entries."""
        service = request.spec.service
        claim = await self._guard.claim(service, key, request.id)
        if not claim.granted:
            self._state.counters.count("duplicates_refused")
            return claim.reply or Reply.unknown(
                OutcomeReason.DUPLICATE, "The key is in use."
            )
        reply = await self._serve(request)
        request.finish(reply)
        settling = asyncio.create_task(
            self._guard.record_reply(service, key, claim, reply)
        )
        self._settling.add(settling)
        settling.add_done_callback(self._settling.discard)
        if reply.outcome is Outcome.NOT_RUN:
            # The key must be free before the caller is told that it is.
            await asyncio.shield(settling)
        return reply

    async def _serve(self, request: Request) -> Reply:
        """Place a request, waiting for room until its deadline."""
        pending = asyncio.create_task(self._serve_to_the_end(request))
        await asyncio.wait(
            (pending,), timeout=request.remaining_s(self._state.now)
        )
        if pending.done():
            return pending.result()
        if not request.may_have_run:
            # It waits for room; the waiting ends at the deadline too.
            return await pending
        self._late.add(pending)
        pending.add_done_callback(self._drop_late)
        return Reply.unknown(
            OutcomeReason.DEADLINE,
            "The deadline passed while the request was running.",
        )

    def _drop_late(self, pending: asyncio.Task[Reply]) -> None:
        self._late.discard(pending)
        self._state.counters.count("late_answers_dropped")
        if pending.cancelled():
            return
        failure = pending.exception()
        if isinstance(failure, BrokenInvariant):
            self._supervisor.report(failure)

    async def _serve_to_the_end(self, request: Request) -> Reply:
        ticket = self._room.ticket(request)
        try:
            while True:
                reply = None
                if self._room.may_try(ticket):
                    reply = await self._place(request, forward=True)
                if reply is not None:
                    return reply
                if request.expired(self._state.now):
                    return self._out_of_time(request)
                if not await self._room.wait(ticket, request):
                    return self._shed(request)
        finally:
            self._room.leave(ticket)

    def _out_of_time(self, request: Request) -> Reply:
        if request.may_have_run:
            return Reply.unknown(
                OutcomeReason.DEADLINE,
                "The deadline passed after an attempt whose end is unknown.",
            )
        return Reply.not_run(
            OutcomeReason.DEADLINE,
            "No worker had room before the deadline; send it again with a "
            "longer deadline or later.",
        )

    def _shed(self, request: Request) -> Reply:
        self._state.counters.count("requests_shed")
        if request.may_have_run:
            return self._out_of_time(request)
        return Reply.not_run(
            OutcomeReason.SHED,
            "Too many requests of at least this urgency wait; send it again "
            "later.",
        )

    async def _place(self, request: Request, forward: bool) -> Reply | None:
        """Try workers, then peers; None when nobody has room.

        :param request: the request
        :param forward: whether peers may be tried
        """
        tried: set[str] = set()
        refusals = 0
        while request.may_dispatch(self._state.now):
            session = self._pool.choose(
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
                peer := self._links.choose(self._state.now, tried)
            ):
                reply = await self._send_to_peer(peer, request)
                tried.add(peer)
            else:
                return None
            if self._final(reply, request, forward):
                return reply
            refusals += 1
            if refusals >= _MAX_REFUSALS:
                return None
        return None

    def _final(self, reply: Reply, request: Request, forward: bool) -> bool:
        """Tell whether a reply ends the request."""
        if reply.outcome is Outcome.ANSWERED:
            return True
        if reply.outcome is Outcome.NOT_RUN:
            return False
        request.mark_answer_lost()
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
        held = Reservation(dispatch_id, WorkKind.REQUEST, 0, needs)
        if not worker.reserve(held, now):
            request.mark_dispatch_refused()
            return Reply.not_run(OutcomeReason.NO_ROOM, "No room.")
        answer = await session.port.run_request(
            WorkerRequest(
                dispatch_id,
                request.spec.service,
                request.idempotency_key,
                needs,
                request.body,
            ),
            worker.guard.token,
            request.remaining_s(now) + LATE_ANSWER_S,
        )
        if isinstance(answer, Ok):
            worker.release(dispatch_id)
            self._state.notify_room()
            return Reply.answered(answer.ok_value)
        failure = answer.err_value
        if isinstance(failure, WorkerOutcomeUnknown):
            worker.mark_answer_lost(dispatch_id)
            session.note_failure(failure)
            return Reply.unknown(OutcomeReason.WORKER_SILENT, failure.detail)
        worker.release(dispatch_id)
        if isinstance(failure, WorkerFailed):
            return Reply.unknown(OutcomeReason.WORKER_FAILED, failure.detail)
        session.note_failure(failure)
        request.mark_dispatch_refused()
        self._state.counters.count("dispatches_refused")
        await asyncio.sleep(_REFUSED_PAUSE_S * random.random())
        return Reply.not_run(OutcomeReason.WORKER_REFUSED, failure.detail)

    async def _send_to_peer(self, peer: str, request: Request) -> Reply:
        dispatch_id = request.begin_dispatch(self._state.now)
        self._state.counters.count("requests_forwarded")
        reply = await self._links.forward(peer, request, dispatch_id)
        if reply.outcome is Outcome.NOT_RUN:
            request.mark_dispatch_refused()
        return reply


def _draining() -> Reply:
    return Reply.not_run(
        OutcomeReason.DRAINING,
        "This entry is stopping; send the request to another one.",
    )
