"""Tickets of the placement service for queues whose starts need them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from carawaystep.planner.advice_limits import max_workers
from carawaystep.planner.advice_limits import ticket_margin_s
from carawaystep.planner.advice_limits import timeout_s
from carawaystep.planner.advice_request import AdviceRequest
from carawaystep.routing.ticket_terms import TicketTerms

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from carawaystep.fleet.order import StartOrder
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow

_RETRY_DELAY_S = 0.2
# A request is given up after this many of its time limits: its member may send
# another one first, and answers also when the service does not.
_LOST_AFTER_TIMEOUTS = 2.0

_StepKey = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class _Ticket:
    """Permission to start tasks of a step on one lifetime of a worker.

    :param text: text that the worker checks
    :param use_until: time from which it is no longer used for placements,
        seconds of a monotonic clock
    :param send_until: time from which it is no longer sent
    """

    text: str
    use_until: float
    send_until: float


@dataclass(slots=True)
class _StepTickets:
    """Answers of the placement service about one step.

    :param tickets: last ticket, by worker
    :param denied: ids of workers that may not run the step
    :param allowed: ids of workers that may run the step
    :param open_request: the request without an answer, None without one
    :param asked_at: time of that request
    :param ask_after: earliest time of the next request
    :param timed_out: number of requests that timed out, less those that were
        answered since
    """

    tickets: dict[WorkerKey, _Ticket] = field(default_factory=dict)
    denied: set[str] = field(default_factory=set)
    allowed: set[str] = field(default_factory=set)
    open_request: AdviceRequest | None = None
    asked_at: float = 0.0
    ask_after: float = 0.0
    timed_out: int = 0

    def end_request(self, now: float) -> float:
        """Forget the open request.

        :returns: seconds since it was made, 0 without one
        """
        if self.open_request is None:
            return 0.0
        self.open_request = None
        return now - self.asked_at


class TicketCache:
    """Keeps tickets by step and worker, and requests new ones.

    Which workers may run a step never changes, but tickets expire. A step
    has at most one open request.
    """

    def __init__(self, log: DecisionLog) -> None:
        """Create an empty cache.

        :param log: receives a line for each answer
        """
        self._log = log
        self._terms: Mapping[str, TicketTerms | None] = {}
        self._steps: dict[_StepKey, _StepTickets] = {}
        self._requests: list[AdviceRequest] = []

    def set_terms(self, terms: Mapping[str, TicketTerms | None]) -> None:
        """Set the terms of tickets in force.

        :param terms: by queue, None for one whose starts need no tickets
        """
        self._terms = terms

    def needs_tickets(self, workflow: Workflow) -> bool:
        """Tell whether starts of a workflow need tickets."""
        return self._terms_of(workflow) is not None

    def take_requests(self) -> list[AdviceRequest]:
        """Return the requests made since the last call."""
        requests, self._requests = self._requests, []
        return requests

    def workers_with_ticket(
        self,
        workflow: Workflow,
        ref: TaskRef,
        candidates: Iterable[TrackedWorker],
        now: float,
    ) -> Iterator[TrackedWorker]:
        """Iterate over the candidates with a valid ticket.

        If there is none, the end of the iteration requests tickets for the
        candidates that are not known to be denied.

        :param candidates: workers that may get the task if they have a ticket
        :param now: current time, seconds of a monotonic clock
        """
        step_tickets = self._steps.setdefault(ref[:3], _StepTickets())
        others: list[WorkerKey] = []
        found = False
        for worker in candidates:
            ticket = step_tickets.tickets.get(worker.key)
            if ticket is not None and now < ticket.use_until:
                found = True
                yield worker
            elif worker.key.id not in step_tickets.denied:
                others.append(worker.key)
        if not found and others:
            self._request_tickets(step_tickets, workflow, ref, others, now)

    def not_denied(
        self, ref: TaskRef, workers: Iterable[TrackedWorker]
    ) -> list[TrackedWorker]:
        """Return the workers that are not known to be denied to a step.

        :param ref: any task of the step
        """
        step_tickets = self._steps.get(ref[:3])
        denied = set() if step_tickets is None else step_tickets.denied
        return [worker for worker in workers if worker.key.id not in denied]

    def ticket_for(self, ref: TaskRef, key: WorkerKey, now: float) -> str:
        """Return the ticket for a start, empty without a valid one."""
        step_tickets = self._steps.get(ref[:3])
        ticket = (
            None if step_tickets is None else step_tickets.tickets.get(key)
        )
        if ticket is None or now >= ticket.use_until:
            return ""
        return ticket.text

    def may_send(self, order: StartOrder, now: float) -> bool:
        """Tell whether the ticket of a start, if any, is valid on arrival.

        :param now: current time, seconds of a monotonic clock
        """
        if not order.ticket:
            return True
        step_tickets = self._steps.get(order.ref[:3])
        if step_tickets is None:
            return True
        ticket = step_tickets.tickets.get(order.worker)
        return ticket is None or now < ticket.send_until

    def record_answer(
        self,
        request: AdviceRequest,
        tickets: Mapping[str, str] | None,
        now: float,
    ) -> None:
        """Record an answer of the placement service.

        :param request: request that was answered
        :param tickets: by id of the workers that may run the step; None
            when the service did not answer
        :param now: current time, seconds of a monotonic clock
        """
        step_tickets = self._steps.get(request.step_key)
        if step_tickets is None:
            return
        waited_s = step_tickets.end_request(now)
        if tickets is None:
            step_tickets.ask_after = now + _RETRY_DELAY_S
            if waited_s >= request.timeout_s:
                step_tickets.timed_out += 1
            self._log_unanswered(request, waited_s)
            return
        step_tickets.timed_out = max(0, step_tickets.timed_out - 1)
        margin_s = ticket_margin_s(request.validity_s)
        valid_until = now + request.validity_s
        for key in request.workers:
            text = tickets.get(key.id)
            if text is None:
                step_tickets.denied.add(key.id)
            else:
                step_tickets.allowed.add(key.id)
                step_tickets.tickets[key] = _Ticket(
                    text, valid_until - margin_s, valid_until - margin_s / 2
                )
        self._log.line(
            "permits.answered",
            request.step_name,
            asked=len(request.workers),
            allowed=len(tickets),
            seconds=waited_s,
        )

    def discard_ticket(self, ref: TaskRef, key: WorkerKey) -> None:
        """Drop a ticket that a worker has rejected."""
        step_tickets = self._steps.get(ref[:3])
        if step_tickets is not None:
            step_tickets.tickets.pop(key, None)

    def forget_workflow(self, workflow_id: str) -> None:
        """Drop the tickets of a settled workflow."""
        for step_key in [s for s in self._steps if s[0] == workflow_id]:
            del self._steps[step_key]

    def withdraw_request(self, request: AdviceRequest, now: float) -> None:
        """Forget a request that was not sent, so that it is made again.

        :param now: current time, seconds of a monotonic clock
        """
        step_tickets = self._steps.get(request.step_key)
        if step_tickets is not None and step_tickets.open_request is request:
            step_tickets.end_request(now)

    def _terms_of(self, workflow: Workflow) -> TicketTerms | None:
        """Return the terms in force for a workflow's queue.

        Those at its acceptance stand in for a queue that no manifest names,
        and until a manifest has been read.
        """
        spec = workflow.spec
        accepted = TicketTerms(spec.permit_s) if spec.permit_s > 0 else None
        return self._terms.get(spec.queue, accepted)

    def _request_tickets(
        self,
        step_tickets: _StepTickets,
        workflow: Workflow,
        ref: TaskRef,
        workers: list[WorkerKey],
        now: float,
    ) -> None:
        """Request tickets unless a request is open or was just answered."""
        terms = self._terms_of(workflow)
        if terms is None or now < step_tickets.ask_after:
            return
        request = step_tickets.open_request
        if request is not None:
            waited_s = now - step_tickets.asked_at
            if waited_s < request.timeout_s * _LOST_AFTER_TIMEOUTS:
                return
            step_tickets.timed_out += 1
            self._log_unanswered(request, waited_s)
        # Workers that may run the step come first: they always get a ticket.
        workers.sort(key=lambda key: key.id not in step_tickets.allowed)
        timed_out = step_tickets.timed_out
        asked = workers[: max_workers(workflow, ref.step, terms, timed_out)]
        request = AdviceRequest(
            ref.workflow,
            ref.occurrence,
            ref.step,
            asked,
            terms.validity_s,
            timeout_s(terms, len(asked), timed_out),
        )
        step_tickets.open_request = request
        step_tickets.asked_at = now
        self._requests.append(request)

    def _log_unanswered(self, request: AdviceRequest, waited_s: float) -> None:
        self._log.line(
            "permits.unanswered",
            request.step_name,
            asked=len(request.workers),
            seconds=waited_s,
            timeout_s=request.timeout_s,
        )
