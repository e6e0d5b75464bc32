"""Size and time limit of the requests to the placement service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.routing.ticket_terms import TicketTerms
    from carawaystep.workflow.workflow import Workflow
    from carawaystep.workflow.workflow_spec import WorkflowSpec

# A few workers are enough for most steps, and more take longer to decide on.
_MAX_WORKERS = 30
# The service accepts no larger request.
_MAX_WORKERS_OF_GANG = 100
# Time that a response may take for the workers in the request, at most this
# and this share of the time in which the workflow is to end.
_MAX_RESPONSE_S = 1.0
_MAX_RESPONSE_SHARE = 0.5
# Time limit of a request: this factor on the response time that its terms
# promise, and the transfer of request and response.
_RESPONSE_MARGIN = 1.25
_TRANSFER_S = 1.4
# After this many requests without a response, the size and the time limit of
# a step's requests stay.
_MAX_REDUCTIONS = 3
# Covers the transfer of the answer, the commit and the transfer of the start.
_TICKET_MARGIN_S = 0.6
_MAX_TICKET_MARGIN_SHARE = 0.3


def max_workers(
    workflow: Workflow, step: int, terms: TicketTerms, unanswered: int
) -> int:
    """Return how many workers a request may name.

    Without the limit, a service that takes long for each worker would never
    respond in time. A gang needs all its tickets at the same time.

    :param step: number of the step
    :param unanswered: requests for the step that timed out before
    """
    if workflow.spec.steps[step].gang:
        count = workflow.spec.steps[step].count
        return min(max(count, _MAX_WORKERS), _MAX_WORKERS_OF_GANG)
    count = _MAX_WORKERS
    if terms.per_worker_s > 0:
        affordable = _workers_s(workflow.spec, terms) / terms.per_worker_s
        count = min(count, int(affordable))
    return max(1, count >> min(unanswered, _MAX_REDUCTIONS))


def timeout_s(terms: TicketTerms, worker_count: int, unanswered: int) -> float:
    """Return the time limit of a request in seconds.

    :param worker_count: number of workers in the request
    :param unanswered: requests for the step that timed out before
    """
    expected_s = terms.response_s(worker_count) * _RESPONSE_MARGIN
    return (expected_s + _TRANSFER_S) * (1 << min(unanswered, _MAX_REDUCTIONS))


def ticket_margin_s(validity_s: float) -> float:
    """Return how long before its end a ticket is placed last, in seconds.

    :param validity_s: seconds for which the ticket is valid
    """
    return min(_TICKET_MARGIN_S, validity_s * _MAX_TICKET_MARGIN_SHARE)


def _workers_s(spec: WorkflowSpec, terms: TicketTerms) -> float:
    """Return the time that a response may take for its workers, in seconds.

    It is no shorter than the time that any response takes, so that many
    requests do not spend most of it.
    """
    allowed_s = min(
        _MAX_RESPONSE_S, spec.target_duration_s * _MAX_RESPONSE_SHARE
    )
    return max(allowed_s - terms.decision_s, terms.decision_s)
