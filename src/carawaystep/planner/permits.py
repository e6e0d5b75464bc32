"""Permits of the placement service for queues that need them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from carawaystep.planner.advice_request import AdviceRequest

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from carawaystep.fleet.held_worker import HeldWorker
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow

# Workers named in one request. The service takes time for each of them.
_WORKERS_PER_REQUEST = 30
# Covers the way of the answer, the commit and the way of the start.
_MARGIN_S = 0.6
# A request without an answer is repeated after so long.
_REQUEST_LIMIT_S = 3.0
_RETRY_S = 0.2

_Slot = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class _Ticket:
    """Permission to start tasks of a step on one lifetime of a worker."""

    text: str
    valid_until: float


@dataclass(slots=True)
class _StepPermits:
    """What is known of one step.

    :param tickets: by worker
    :param denied: ids of workers that may not run the step
    :param allowed: ids of workers that may
    :param asked_at: when the open request was made, None without one
    :param ask_after: earliest time of the next request
    """

    tickets: dict[WorkerKey, _Ticket] = field(default_factory=dict)
    denied: set[str] = field(default_factory=set)
    allowed: set[str] = field(default_factory=set)
    asked_at: float | None = None
    ask_after: float = 0.0


class Permits:
    """Tickets by step and worker, and the requests for more.

    Which workers may run a step never changes, but tickets expire. A step
    has at most one open request.
    """

    def __init__(self, log: DecisionLog) -> None:
        """Create a record without permits.

        :param log: takes a line for each answer
        """
        self._log = log
        self._steps: dict[_Slot, _StepPermits] = {}
        self._requests: list[AdviceRequest] = []

    def take_requests(self) -> list[AdviceRequest]:
        """Return the requests made since the last call."""
        requests, self._requests = self._requests, []
        return requests

    def filter(
        self,
        workflow: Workflow,
        ref: TaskRef,
        candidates: Iterable[HeldWorker],
        now: float,
    ) -> Iterator[HeldWorker]:
        """Return the candidates with a valid ticket; ask when none has.

        :param candidates: workers that may get the task otherwise
        :param now: present time, seconds of a steady clock
        """
        known = self._steps.setdefault(ref[:3], _StepPermits())
        others: list[WorkerKey] = []
        found = False
        for worker in candidates:
            ticket = known.tickets.get(worker.key)
            if ticket is not None and now < ticket.valid_until:
                found = True
                yield worker
            elif worker.key.id not in known.denied:
                others.append(worker.key)
        if not found and others:
            self._ask(known, ref, others, workflow.spec.permit_s, now)

    def ticket(self, ref: TaskRef, key: WorkerKey, now: float) -> str:
        """Return the ticket of a start, empty where none is needed."""
        known = self._steps.get(ref[:3])
        ticket = None if known is None else known.tickets.get(key)
        if ticket is None or now >= ticket.valid_until:
            return ""
        return ticket.text

    def answer(
        self,
        request: AdviceRequest,
        tickets: Mapping[str, str] | None,
        now: float,
    ) -> None:
        """Take the service's answer.

        :param tickets: by id of the workers that may run the step; None
            when the service did not answer
        """
        known = self._steps.get(request.slot)
        if known is None:
            return
        asked_at, known.asked_at = known.asked_at, None
        if tickets is None:
            known.ask_after = now + _RETRY_S
            self._log.line("permits.unanswered", request.step_name)
            return
        valid_until = now + request.validity_s - _MARGIN_S
        for key in request.workers:
            text = tickets.get(key.id)
            if text is None:
                known.denied.add(key.id)
            else:
                known.allowed.add(key.id)
                known.tickets[key] = _Ticket(text, valid_until)
        self._log.line(
            "permits.answered",
            request.step_name,
            asked=len(request.workers),
            allowed=len(tickets),
            seconds=0.0 if asked_at is None else now - asked_at,
        )

    def reject(self, ref: TaskRef, key: WorkerKey) -> None:
        """Drop a ticket that a worker did not accept."""
        known = self._steps.get(ref[:3])
        if known is not None:
            known.tickets.pop(key, None)

    def forget(self, workflow_id: str) -> None:
        """Drop what is known of a settled workflow's steps."""
        for slot in [s for s in self._steps if s[0] == workflow_id]:
            del self._steps[slot]

    def _ask(
        self,
        known: _StepPermits,
        ref: TaskRef,
        workers: list[WorkerKey],
        validity_s: float,
        now: float,
    ) -> None:
        waiting = (
            known.asked_at is not None
            and now - known.asked_at < _REQUEST_LIMIT_S
        )
        if waiting or now < known.ask_after:
            return
        known.asked_at = now
        # Workers that are known to be allowed answer the question for sure.
        workers.sort(key=lambda key: key.id not in known.allowed)
        self._requests.append(
            AdviceRequest(
                ref.workflow,
                ref.occurrence,
                ref.step,
                workers[:_WORKERS_PER_REQUEST],
                validity_s,
            )
        )
