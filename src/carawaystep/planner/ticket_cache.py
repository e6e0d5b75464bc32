"""Tickets of the placement service for queues whose starts need them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from carawaystep.planner.advice_request import AdviceRequest

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow

# The response time of the service grows with the workers in a request.
_MAX_WORKERS_PER_REQUEST = 30
# Covers the transfer of the answer, the commit and the transfer of the start.
_TICKET_MARGIN_S = 0.6
# A request is repeated when no answer has arrived within this time.
_REQUEST_TIMEOUT_S = 3.0
_RETRY_DELAY_S = 0.2

_StepKey = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class _Ticket:
    """Permission to start tasks of a step on one lifetime of a worker.

    :param text: text that the worker checks
    :param valid_until: time from which it is no longer used, seconds of a
        monotonic clock
    """

    text: str
    valid_until: float


@dataclass(slots=True)
class _StepTickets:
    """Answers of the placement service about one step.

    :param tickets: last ticket, by worker
    :param denied: ids of workers that may not run the step
    :param allowed: ids of workers that may run the step
    :param asked_at: time of the open request, None without one
    :param ask_after: earliest time of the next request
    """

    tickets: dict[WorkerKey, _Ticket] = field(default_factory=dict)
    denied: set[str] = field(default_factory=set)
    allowed: set[str] = field(default_factory=set)
    asked_at: float | None = None
    ask_after: float = 0.0


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
        self._steps: dict[_StepKey, _StepTickets] = {}
        self._requests: list[AdviceRequest] = []

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
            if ticket is not None and now < ticket.valid_until:
                found = True
                yield worker
            elif worker.key.id not in step_tickets.denied:
                others.append(worker.key)
        if not found and others:
            self._request_tickets(
                step_tickets, ref, others, workflow.spec.permit_s, now
            )

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
        if ticket is None or now >= ticket.valid_until:
            return ""
        return ticket.text

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
        asked_at, step_tickets.asked_at = step_tickets.asked_at, None
        if tickets is None:
            step_tickets.ask_after = now + _RETRY_DELAY_S
            self._log.line("permits.unanswered", request.step_name)
            return
        valid_until = now + request.validity_s - _TICKET_MARGIN_S
        for key in request.workers:
            text = tickets.get(key.id)
            if text is None:
                step_tickets.denied.add(key.id)
            else:
                step_tickets.allowed.add(key.id)
                step_tickets.tickets[key] = _Ticket(text, valid_until)
        self._log.line(
            "permits.answered",
            request.step_name,
            asked=len(request.workers),
            allowed=len(tickets),
            seconds=0.0 if asked_at is None else now - asked_at,
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

    def _request_tickets(
        self,
        step_tickets: _StepTickets,
        ref: TaskRef,
        workers: list[WorkerKey],
        validity_s: float,
        now: float,
    ) -> None:
        waiting = (
            step_tickets.asked_at is not None
            and now - step_tickets.asked_at < _REQUEST_TIMEOUT_S
        )
        if waiting or now < step_tickets.ask_after:
            return
        step_tickets.asked_at = now
        # Workers that may run the step come first: they always get a ticket.
        workers.sort(key=lambda key: key.id not in step_tickets.allowed)
        self._requests.append(
            AdviceRequest(
                ref.workflow,
                ref.occurrence,
                ref.step,
                workers[:_MAX_WORKERS_PER_REQUEST],
                validity_s,
            )
        )
