"""Calls of members that wait until a change of a workflow is stored."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.scheduler.member_session import MemberSession
    from carawaystep.workflow.workflow_state import WorkflowState


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call of a member.

    :param session: session with the member
    :param number: number that the member gave the call
    :param is_cancellation: whether it cancels the workflow; otherwise it
        submits it
    """

    session: MemberSession
    number: int
    is_cancellation: bool


class WaitingCalls:
    """Calls by workflow that are answered once their change is stored."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._calls: dict[str, list[WaitingCall]] = {}

    def add(self, workflow_id: str, call: WaitingCall) -> None:
        """Add a call."""
        self._calls.setdefault(workflow_id, []).append(call)

    def take_answered(
        self, workflow_id: str, stored_state: WorkflowState
    ) -> list[WaitingCall]:
        """Remove and return the calls that a stored state answers.

        Any state shows that the submission is stored. A commit that began
        before a cancellation does not hold it, so a cancellation waits for
        a final state.
        """
        answered = []
        waiting = []
        for call in self._calls.pop(workflow_id, []):
            if stored_state.final or not call.is_cancellation:
                answered.append(call)
            else:
                waiting.append(call)
        if waiting:
            self._calls[workflow_id] = waiting
        return answered
