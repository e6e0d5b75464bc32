"""Calls of callers: submissions, states, cancellations and counts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.scheduler import tables
from carawaystep.scheduler.intake_outcome import IntakeOutcome
from carawaystep.scheduler.workflow_ledger import insert_submission
from carawaystep.store.operation import PutRow
from carawaystep.store.table_failure import TableRefused
from carawaystep.workflow.workflow_state import WorkflowState

if TYPE_CHECKING:
    from result import Result

    from carawaystep.entry.clock import Clock
    from carawaystep.leadership.leadership import Leadership
    from carawaystep.scheduler.member import Member
    from carawaystep.scheduler.store_pulse import StorePulse
    from carawaystep.store.table_failure import TableFailure
    from carawaystep.store.table_service import TableService
    from carawaystep.workflow.workflow_spec import WorkflowSpec

# Covers a commit that is repeated once.
_SUBMIT_S = 1.2
_ASK_S = 0.5


class Intake:
    """Asks the leader, and the store where there is no leader."""

    def __init__(
        self,
        member: Member,
        leadership: Leadership,
        table: TableService,
        clock: Clock,
        pulse: StorePulse,
    ) -> None:
        """Create the intake of a process."""
        self._member = member
        self._leadership = leadership
        self._table = table
        self._clock = clock
        self._pulse = pulse

    async def submit(self, spec: WorkflowSpec) -> IntakeOutcome:
        """Store a workflow; the same id again is the same workflow."""
        if self._member.told.get(spec.id) is not None:
            return IntakeOutcome.ACCEPTED
        certain = True
        if self._leadership.reachable(self._clock.now()):
            reply = await self._member.submit(spec, _SUBMIT_S)
            if reply is not None and reply.known:
                return IntakeOutcome.ACCEPTED
            if reply is not None and reply.refused:
                return IntakeOutcome.REFUSED
            certain = False
        if self._pulse.lost:
            return IntakeOutcome.REFUSED if certain else IntakeOutcome.UNKNOWN
        return self._outcome(
            await insert_submission(self._table, spec), certain
        )

    async def state(
        self, workflow_id: str
    ) -> Result[WorkflowState | None, TableFailure]:
        """Return a workflow's state, Ok(None) when it does not exist."""
        reachable = self._leadership.reachable(self._clock.now())
        told = self._member.told.get(workflow_id)
        if told is not None and (told.final or reachable):
            return Ok(told)
        if reachable:
            reply = await self._member.ask(workflow_id, _ASK_S)
            if reply is not None and reply.state is not None:
                return Ok(reply.state)
        return await self._stored_state(workflow_id)

    async def cancel(self, workflow_id: str) -> IntakeOutcome:
        """Cancel a workflow."""
        told = self._member.told.get(workflow_id)
        if told is not None and told.final:
            return IntakeOutcome.ACCEPTED
        if self._leadership.reachable(self._clock.now()):
            reply = await self._member.cancel(workflow_id, _SUBMIT_S)
            if reply is not None and reply.known:
                return IntakeOutcome.ACCEPTED
        stored = await self._stored_state(workflow_id)
        if isinstance(stored, Err):
            return IntakeOutcome.UNKNOWN
        if stored.ok_value is None:
            return IntakeOutcome.ABSENT
        if stored.ok_value.final:
            return IntakeOutcome.ACCEPTED
        row = PutRow(tables.CANCELS, workflow_id, None, {"cancelled": True})
        result = await self._table.transact([row])
        return self._outcome(result.map(lambda _: None), certain=False)

    def queued(self, queue: str) -> int | None:
        """Return how many workflows of a queue have not started.

        None when no recent count is known.
        """
        return self._member.told.queued(queue, self._clock.now())

    async def _stored_state(
        self, workflow_id: str
    ) -> Result[WorkflowState | None, TableFailure]:
        """Read the state from the store.

        A settled workflow moves from the submissions to the ended ones, so
        that reading in this order misses none.
        """
        submission = await self._table.get(tables.SUBMISSIONS, workflow_id)
        if isinstance(submission, Err):
            return submission
        if submission.ok_value is not None:
            progress = await self._table.get(tables.PROGRESS, workflow_id)
            if isinstance(progress, Err):
                return progress
            if progress.ok_value is None:
                return Ok(WorkflowState.PENDING)
            if progress.ok_value.value.get("cancelled"):
                return Ok(WorkflowState.CANCELLED)
            if progress.ok_value.value.get("failed"):
                return Ok(WorkflowState.FAILED)
            return Ok(WorkflowState.RUNNING)
        ended = await self._table.get(tables.ENDED, workflow_id)
        if isinstance(ended, Err):
            return ended
        if ended.ok_value is None:
            return Ok(None)
        return Ok(WorkflowState(ended.ok_value.value["state"]))

    def _outcome(
        self, result: Result[None, TableFailure], certain: bool
    ) -> IntakeOutcome:
        if isinstance(result, Ok):
            self._pulse.answered(self._clock.now())
            return IntakeOutcome.ACCEPTED
        failure = result.err_value
        self._pulse.failed(failure.detail, self._clock.now())
        if certain and isinstance(failure, TableRefused):
            return IntakeOutcome.REFUSED
        return IntakeOutcome.UNKNOWN
