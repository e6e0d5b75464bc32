"""Messages between the leader and the members.

Times are seconds of the sender's boot-time clock. Times of different clocks
are never compared.
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
from carawaystep.planner.refusal import Refusal
from carawaystep.planner.room_forecast import RoomForecast

# The codecs read the annotations at run time.
from carawaystep.validation.bounds import Seconds  # noqa: TC001
from carawaystep.workflow.workflow_spec import WorkflowSpec
from carawaystep.workflow.workflow_state import WorkflowState


class PublishedStates(
    msgspec.Struct, tag="Told", array_like=True, frozen=True
):
    """Stored workflow states, which members may return to callers.

    :param states: changed states by workflow id
    :param queued: number of workflows that have not started, by queue; None
        if the message carries no counts
    :param number: number of messages with states that the leader has sent to
        this member in this term, including this one; shows lost messages. A
        message that only repeats states early does not count.
    :param forecast: room for further submissions; None if the message
        carries no forecast
    """

    term: int
    states: dict[str, WorkflowState]
    queued: dict[str, int] | None = None
    number: int = 0
    forecast: RoomForecast | None = None


class LeaderHeartbeat(
    msgspec.Struct, tag="Lead", array_like=True, frozen=True
):
    """The leader's heartbeat, sent to each member several times a second.

    :param term: number of the term, which is also the fencing token
    :param leader: name of the leader's node
    :param echoed_timestamp: timestamp of this member's last
        :class:`MemberHeartbeat`, 0 if there was none
    :param confirmation_age_s: seconds since the store confirmed the term
    :param silence_limit_s: seconds without a heartbeat after which members
        replace the leader
    :param published: what changed since the last heartbeat, None if nothing
    :param timestamp: time of the leader's clock, echoed by a member that
        follows the term
    """

    term: int
    leader: str
    echoed_timestamp: float
    confirmation_age_s: float
    silence_limit_s: float = 1.0
    published: PublishedStates | None = None
    timestamp: float = 0.0


class AssignedWorker(msgspec.Struct, array_like=True, frozen=True):
    """A worker that a member calls on behalf of the leader.

    :param token: fencing token of the calls, at least the term; leaders of
        earlier versions send none, and 0 stands for the term
    :param availability_zone: of the worker; empty from such leaders
    """

    key: WorkerKey
    address: str
    token: int = 0
    availability_zone: str = ""


class Assign(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """The complete list of workers that a member calls.

    The member stops calling workers that are not listed.

    :param version: version of the list, incremented with each change
    """

    term: int
    version: int
    workers: list[AssignedWorker]


class NumberedOrder(msgspec.Struct, array_like=True, frozen=True):
    """An order and the number under which its outcome is reported."""

    number: int
    order: StartOrder | StopOrder | PaceOrder


class Orders(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Orders for the workers that are assigned to a member.

    :param echoed_timestamp: timestamp of the member's last heartbeat that
        the leader had received when it decided on the orders; starts expire
        some time after it. None if they do not expire.
    """

    term: int
    orders: list[NumberedOrder]
    echoed_timestamp: float | None = None


class Acknowledge(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Confirms that the ends of a worker's runs are stored.

    :param number: sequence number of the last stored end; all before it are
        stored too
    """

    term: int
    worker: WorkerKey
    number: int


class Resignation(
    msgspec.Struct, tag="Farewell", array_like=True, frozen=True
):
    """The leader has ended its term voluntarily."""

    term: int


class ForwardedAdviceRequest(
    msgspec.Struct, tag="Consult", array_like=True, frozen=True
):
    """Asks a member to send a request to the placement service.

    The member returns the answer in an :class:`AdviceReply`.
    """

    term: int
    request: AdviceRequest


class CallReply(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """The leader's answer to a call of a member.

    :param call: number that the member gave the call
    :param stored: whether the submission or cancellation took effect in the
        store; for a query, whether the workflow is known
    :param state: state of the workflow, None if unknown
    :param refused: True if nothing was done because the store is unavailable
        or there is no room in time
    :param refusal: why there is no room in time, None for any other cause
    """

    call: int
    stored: bool
    state: WorkflowState | None = None
    refused: bool = False
    refusal: Refusal | None = None


class MemberHeartbeat(
    msgspec.Struct, tag="Alive", array_like=True, frozen=True
):
    """A member's answer to :class:`LeaderHeartbeat`.

    :param name: name of the member's node
    :param term: highest term that the member knows
    :param timestamp: time of the member's clock, echoed by the leader
    :param assignment_version: version of its last :class:`Assign`, 0 if none
    :param draining: whether the member is about to stop
    :param leader_timestamp: timestamp of the heartbeat that it answers
    :param incarnation: id of the member's process, different after a restart;
        empty for one of an earlier version
    """

    name: str
    term: int
    timestamp: float
    assignment_version: int
    draining: bool
    leader_timestamp: float = 0.0
    incarnation: str = ""


class LeaseAges(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """What a member has extended before it followed the term.

    The member sends it once it calls no worker for an earlier leader.

    :param ages_s: seconds since the last extension, by id of the worker
    :param process_age_s: seconds since the member's process started; it has
        extended no other lease in this time
    """

    term: int
    ages_s: dict[str, Seconds]
    process_age_s: Seconds


class Report(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """A worker's report.

    :param fenced: whether it was fetched with the fencing token of the
        lifetime that reported, which now refuses calls to earlier ones
    """

    term: int
    report: WorkerReport
    fenced: bool = True


class ReportPollRejected(
    msgspec.Struct, tag="Superseded", array_like=True, frozen=True
):
    """A worker rejected a call for its report.

    :param fenced: True if the worker knows a higher fencing token; otherwise
        another lifetime of the worker answered
    """

    term: int
    worker: WorkerKey
    fenced: bool


class OrderResult(
    msgspec.Struct, tag="Concluded", array_like=True, frozen=True
):
    """Outcome of one order.

    :param number: number of the :class:`NumberedOrder`
    """

    term: int
    number: int
    outcome: OrderOutcome


class AdviceReply(
    msgspec.Struct, tag="Consulted", array_like=True, frozen=True
):
    """Answer of the placement service.

    :param request: the request that was sent
    :param tickets: ticket by id of each worker that may run the step, None
        if the service did not answer
    """

    term: int
    request: AdviceRequest
    tickets: dict[str, str] | None


class Submit(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Call to store a workflow that a caller submitted.

    :param may_be_stored: whether an earlier attempt may take effect, so that
        the workflow must not be refused for lack of room
    """

    call: int
    spec: WorkflowSpec
    may_be_stored: bool = False


class Cancel(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Call to cancel a workflow."""

    call: int
    workflow_id: str


class QueryState(msgspec.Struct, tag="Ask", array_like=True, frozen=True):
    """Call for the state of a workflow."""

    call: int
    workflow_id: str


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
    | LeaseAges
    | Report
    | ReportPollRejected
    | OrderResult
    | AdviceReply
    | Submit
    | Cancel
    | QueryState
)
Message = FromLeader | FromMember
