"""Calls of members on behalf of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.cluster.messages import CallReply
from carawaystep.scheduler.admission import LeaderAdmission
from carawaystep.scheduler.waiting_calls import WaitingCall
from carawaystep.scheduler.waiting_calls import WaitingCalls

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Mapping

    from carawaystep.cluster.messages import Cancel
    from carawaystep.cluster.messages import QueryState
    from carawaystep.cluster.messages import Submit
    from carawaystep.planner.planner import Planner
    from carawaystep.planner.refusal import Refusal
    from carawaystep.scheduler.leader_context import LeaderContext
    from carawaystep.scheduler.member_session import MemberSession
    from carawaystep.workflow.workflow_state import WorkflowState

# With an older confirmation the store is probably unavailable; submissions
# are then refused at once instead of waiting for a commit.
_MAX_ADMISSION_CONFIRMATION_AGE_S = 0.8


class MemberCalls:
    """Answers submissions, cancellations and queries from stored states.

    Invariant: a call is accepted only once the change that it asks for is
    stored, and only stored states are returned.
    """

    def __init__(
        self,
        planner: Planner,
        context: LeaderContext,
        plan_requested: asyncio.Event,
    ) -> None:
        """Create an object without published states and waiting calls.

        :param planner: admits and cancels workflows
        :param context: the leader's term
        :param plan_requested: set when the planner has to plan again
        """
        self._planner = planner
        self._context = context
        self._plan_requested = plan_requested
        self._published_states: dict[str, WorkflowState] = {}
        self._waiting_calls = WaitingCalls()
        self.admission = LeaderAdmission()
        # Member through which each unfinished workflow was submitted.
        self._submitters: dict[str, MemberSession] = {}

    async def submit(
        self, session: MemberSession, message: Submit, now: float
    ) -> None:
        """Admit a workflow unless it is known; reply once it is stored.

        :param now: current time in seconds, monotonic
        """
        workflow_id = message.spec.id
        published = self._published_states.get(workflow_id)
        if published is not None:
            await session.send(CallReply(message.call, True, published))
            return
        confirmation_age_s = self._context.confirmation_age(now)
        if confirmation_age_s > _MAX_ADMISSION_CONFIRMATION_AGE_S:
            # A workflow that is waiting for its commit may still be stored,
            # so only a new one can be refused for certain.
            new = self._planner.state(workflow_id) is None
            await session.send(CallReply(message.call, False, refused=new))
            return
        refusal = self._find_refusal(message, now)
        if refusal is not None:
            await session.send(
                CallReply(message.call, False, refused=True, refusal=refusal)
            )
            return
        self._planner.admit(message.spec, stored=False)
        self._submitters[workflow_id] = session
        self._waiting_calls.add(
            workflow_id,
            WaitingCall(session, message.call, is_cancellation=False),
        )
        self._plan_requested.set()

    async def cancel(self, session: MemberSession, message: Cancel) -> None:
        """Cancel a workflow; reply once its final state is stored."""
        workflow_id = message.workflow_id
        if not self._planner.cancel(workflow_id):
            await session.send(CallReply(message.call, False))
            return
        published = self._published_states.get(workflow_id)
        if published is not None and published.final:
            await session.send(CallReply(message.call, True, published))
            return
        self._waiting_calls.add(
            workflow_id,
            WaitingCall(session, message.call, is_cancellation=True),
        )
        self._plan_requested.set()

    async def query(self, session: MemberSession, message: QueryState) -> None:
        """Reply with the published state of a workflow."""
        state = self._published_states.get(message.workflow_id)
        await session.send(CallReply(message.call, state is not None, state))

    def _find_refusal(self, message: Submit, now: float) -> Refusal | None:
        """Return why a submission is refused, None if it is admitted."""
        if message.may_be_stored:
            return None
        if self._planner.state(message.spec.id) is not None:
            return None
        return self.admission.find_refusal(message.spec, now)

    def record_published(self, states: Mapping[str, WorkflowState]) -> None:
        """Record stored states, which queries return from now on."""
        self._published_states.update(states)

    async def reply_to_waiting(
        self, states: Mapping[str, WorkflowState]
    ) -> None:
        """Reply to the calls that stored states answer."""
        for workflow_id, state in states.items():
            for call in self._waiting_calls.take_answered(workflow_id, state):
                await call.session.send(CallReply(call.number, True, state))

    async def notify_submitters(
        self, states: Mapping[str, WorkflowState]
    ) -> None:
        """Send final states at once to the members that callers likely ask.

        A caller mostly asks where it has submitted.
        """
        by_session: dict[MemberSession, dict[str, WorkflowState]] = {}
        for workflow_id, state in states.items():
            if not state.final:
                continue
            session = self._submitters.pop(workflow_id, None)
            if session is not None:
                by_session.setdefault(session, {})[workflow_id] = state
        for session, final_states in by_session.items():
            await session.send_states_early(final_states)
