"""Messages between the leader and the members.

Times are seconds of the sender's boot-time clock; no two clocks are
compared.
"""

from __future__ import annotations

import msgspec

from carawaystep.fleet.order import PaceOrder
from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.fleet.worker_report import WorkerReport
from carawaystep.planner.advice_request import AdviceRequest
from carawaystep.workflow.workflow_spec import WorkflowSpec
from carawaystep.workflow.workflow_state import WorkflowState


class LeaderHeartbeat(
    msgspec.Struct, tag="Lead", array_like=True, frozen=True
):
    """The leader lives; sent to each member several times a second.

    :param term: number of the term, which is also the fencing token
    :param leader: name of the leader
    :param echo: stamp of this member's last :class:`MemberHeartbeat`, 0 for
        none
    :param confirmation_age_s: time since the store confirmed the leader
    """

    term: int
    leader: str
    echo: float
    confirmation_age_s: float


class AssignedWorker(msgspec.Struct, array_like=True, frozen=True):
    """A worker that a member calls on behalf of the leader."""

    key: WorkerKey
    address: str


class Assign(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """All workers of a member; others are given up.

    :param version: rises with each change of the member's workers
    """

    term: int
    version: int
    workers: list[AssignedWorker]


class NumberedOrder(msgspec.Struct, array_like=True, frozen=True):
    """An order and the number under which its outcome is reported."""

    number: int
    order: StartOrder | StopOrder | PaceOrder


class Orders(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Orders for workers of a member."""

    term: int
    orders: list[NumberedOrder]


class Acknowledge(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Ends of a worker up to a number are stored."""

    term: int
    worker: WorkerKey
    number: int


class PublishedStates(
    msgspec.Struct, tag="Told", array_like=True, frozen=True
):
    """States that callers may be told.

    :param states: state by workflow id
    :param queued: workflows that have not started, by queue; None when the
        counts are not part of the message
    """

    term: int
    states: dict[str, WorkflowState]
    queued: dict[str, int] | None = None


class Resignation(
    msgspec.Struct, tag="Farewell", array_like=True, frozen=True
):
    """The leader has ended its term by itself."""

    term: int


class ForwardedAdviceRequest(
    msgspec.Struct, tag="Consult", array_like=True, frozen=True
):
    """QueryState the placement service a question on behalf of the leader."""

    term: int
    request: AdviceRequest


class CallReply(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Answer to a call of a member.

    :param call: number of the call
    :param stored: whether the workflow is stored
    :param state: its state, None when it is not known
    :param refused: True when nothing was done because the store is away
    """

    call: int
    stored: bool
    state: WorkflowState | None = None
    refused: bool = False


class MemberHeartbeat(
    msgspec.Struct, tag="Alive", array_like=True, frozen=True
):
    """A member's answer to :class:`LeaderHeartbeat`.

    :param name: name of the member
    :param term: highest term that it has heard of
    :param stamp: its clock, to be echoed
    :param assignment: version of its workers, 0 for none
    :param draining: whether it is about to stop
    """

    name: str
    term: int
    stamp: float
    assignment: int
    draining: bool


class Report(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Lists of a worker, read under a term's token."""

    term: int
    report: WorkerReport


class Superseded(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """A worker refused the term's token, or another lifetime answered."""

    term: int
    worker: WorkerKey
    fenced: bool


class OrderResult(
    msgspec.Struct, tag="Concluded", array_like=True, frozen=True
):
    """What became of an order."""

    term: int
    number: int
    outcome: OrderOutcome


class AdviceReply(
    msgspec.Struct, tag="Consulted", array_like=True, frozen=True
):
    """What the placement service answered.

    :param tickets: by id of the workers that may run the step, None when
        the service did not answer
    """

    term: int
    request: AdviceRequest
    tickets: dict[str, str] | None


class Submit(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """A caller submitted a workflow."""

    call: int
    spec: WorkflowSpec


class Cancel(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """A caller cancelled a workflow."""

    call: int
    workflow: str


class QueryState(msgspec.Struct, tag="Ask", array_like=True, frozen=True):
    """A caller asked for the state of a workflow."""

    call: int
    workflow: str


FromLeader = (
    LeaderHeartbeat
    | Assign
    | Orders
    | Acknowledge
    | PublishedStates
    | Resignation
    | ForwardedAdviceRequest
    | CallReply
)
FromMember = (
    MemberHeartbeat
    | Report
    | Superseded
    | OrderResult
    | AdviceReply
    | Submit
    | Cancel
    | QueryState
)
Message = FromLeader | FromMember
