"""Application service for callers: submit, query, cancel and count."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.scheduler import tables
from carawaystep.scheduler.call_outcome import CallOutcome
from carawaystep.scheduler.submission_answer import SubmissionAnswer
from carawaystep.scheduler.workflow_repository import insert_submission
from carawaystep.store.operation import PutRow
from carawaystep.store.table_failure import TableRefused
from carawaystep.store.table_failure import TableRejected
from carawaystep.workflow.workflow_state import WorkflowState

if TYPE_CHECKING:
    from result import Result

    from carawaystep.entry.clock import Clock
    from carawaystep.leadership.leadership import Leadership
    from carawaystep.planner.refusal import Refusal
    from carawaystep.scheduler.member import Member
    from carawaystep.scheduler.store_health import StoreHealth
    from carawaystep.store.row import Row
    from carawaystep.store.table_failure import TableFailure
    from carawaystep.store.table_service import TableService
    from carawaystep.workflow.workflow_spec import WorkflowSpec

# Long enough for a commit that the leader has to repeat once.
_WRITE_CALL_TIMEOUT_S = 1.2
_QUERY_CALL_TIMEOUT_S = 0.5


class WorkflowService:
    """Serves callers through the leader.

    If the leader is unreachable, the store is read and written directly.
    """

    def __init__(
        self,
        member: Member,
        leadership: Leadership,
        store: TableService,
        clock: Clock,
        store_health: StoreHealth,
    ) -> None:
        """Create the service.

        :param member: calls the leader and caches the states it published
        :param leadership: tells whether the leader is reachable
        :param store: the store
        :param clock: clock of the process
        :param store_health: records the answers and failures of the store
        """
        self._member = member
        self._leadership = leadership
        self._store = store
        self._clock = clock
        self._store_health = store_health

    async def submit(self, spec: WorkflowSpec) -> SubmissionAnswer:
        """Store a workflow, or refuse it if it cannot be done in time.

        Submitting an id again has no further effect, so callers may repeat
        a call with an unknown outcome.
        """
        if self._member.published_states.get(spec.id) is not None:
            return SubmissionAnswer(CallOutcome.ACCEPTED)
        admission = self._member.admission
        spec = admission.restore_first_attempt(spec)
        refusal = self._find_refusal(spec)
        if refusal is not None:
            return admission.turn_away(spec, refusal)
        open_submissions = admission.open_submissions
        now = self._clock.now()
        may_be_stored = open_submissions.may_be_stored(spec.id, now)
        open_submissions.add(spec.id, now)
        answer = await self._pass_on(spec, may_be_stored)
        # The state of an accepted one is published some time later.
        certainly_absent = answer.outcome in (
            CallOutcome.REFUSED,
            CallOutcome.INVALID,
        )
        if certainly_absent and not may_be_stored:
            open_submissions.close(spec.id, now)
        return answer

    def _find_refusal(self, spec: WorkflowSpec) -> Refusal | None:
        """Return why a submission is refused before anything is sent."""
        now = self._clock.now()
        if not self._leadership.leader_reachable(now):
            return None
        return self._member.admission.find_refusal(
            spec,
            self._member.published_states.complete_since,
            now,
            self._clock.wall_now(),
        )

    async def _pass_on(
        self, spec: WorkflowSpec, may_be_stored: bool
    ) -> SubmissionAnswer:
        """Have a workflow stored by the leader, or store it directly.

        :param may_be_stored: whether an earlier attempt may take effect
        """
        # False once a call with an unknown outcome was sent to the leader.
        refusal_is_certain = True
        if self._leadership.leader_reachable(self._clock.now()):
            reply = await self._member.submit(
                spec, _WRITE_CALL_TIMEOUT_S, may_be_stored
            )
            if reply is not None and reply.stored:
                return SubmissionAnswer(CallOutcome.ACCEPTED)
            if reply is not None and reply.refusal is not None:
                return self._member.admission.turn_away(spec, reply.refusal)
            if reply is not None and reply.refused:
                return SubmissionAnswer(CallOutcome.REFUSED)
            refusal_is_certain = False
        return SubmissionAnswer(
            await self._store_directly(spec, refusal_is_certain)
        )

    async def _store_directly(
        self, spec: WorkflowSpec, refusal_is_certain: bool
    ) -> CallOutcome:
        """Store a workflow without the leader, while the store answers."""
        if self._store_health.lost:
            return (
                CallOutcome.REFUSED
                if refusal_is_certain
                else CallOutcome.UNKNOWN
            )
        return self._write_outcome(
            await insert_submission(self._store, spec), refusal_is_certain
        )

    async def state(
        self, workflow_id: str
    ) -> Result[WorkflowState | None, TableFailure]:
        """Return a workflow's state, Ok(None) if it does not exist.

        A cached state that is not final is used only while the leader is
        reachable, because otherwise updates may be missing.
        """
        reachable = self._leadership.leader_reachable(self._clock.now())
        published = self._member.published_states.get(workflow_id)
        if published is not None and (published.final or reachable):
            return Ok(published)
        if reachable:
            reply = await self._member.query_state(
                workflow_id, _QUERY_CALL_TIMEOUT_S
            )
            if reply is not None and reply.state is not None:
                self._member.published_states.add_missing(
                    workflow_id, reply.state
                )
                return Ok(reply.state)
        return await self._stored_state(workflow_id)

    async def cancel(self, workflow_id: str) -> CallOutcome:
        """Cancel a workflow; a workflow that has ended is left as it is.

        The cancellation of an absent workflow is stored too, because its
        submission may still be in flight.
        """
        published = self._member.published_states.get(workflow_id)
        if published is not None and published.final:
            return CallOutcome.ACCEPTED
        if self._leadership.leader_reachable(self._clock.now()):
            reply = await self._member.cancel(
                workflow_id, _WRITE_CALL_TIMEOUT_S
            )
            if reply is not None and reply.stored:
                return CallOutcome.ACCEPTED
        stored = await self._stored_state(workflow_id)
        if isinstance(stored, Err):
            return CallOutcome.UNKNOWN
        if stored.ok_value is not None and stored.ok_value.final:
            return CallOutcome.ACCEPTED
        row = PutRow(tables.CANCELS, workflow_id, None, {"cancelled": True})
        result = await self._store.transact([row])
        outcome = self._write_outcome(
            result.map(lambda _: None), refusal_is_certain=False
        )
        if outcome is CallOutcome.ACCEPTED and stored.ok_value is None:
            return CallOutcome.ABSENT
        return outcome

    def count_queued(self, queue: str) -> int | None:
        """Return the number of workflows of a queue that have not started.

        :returns: the count, None if no recent count is known
        """
        return self._member.published_states.count_queued(
            queue, self._clock.now()
        )

    async def _stored_state(
        self, workflow_id: str
    ) -> Result[WorkflowState | None, TableFailure]:
        """Return a workflow's state from the store, Ok(None) if absent.

        When a workflow is settled, its rows of the submission and of the
        progress are replaced by one of the ended workflows, which stays.
        Reading in this order never misses the row, and a workflow without a
        progress row is pending only if it has not ended.
        """
        submission = await self._store.get(tables.SUBMISSIONS, workflow_id)
        if isinstance(submission, Err):
            return submission
        if submission.ok_value is not None:
            progress = await self._store.get(tables.PROGRESS, workflow_id)
            if isinstance(progress, Err):
                return progress
            if progress.ok_value is not None:
                return Ok(self._progress_state(progress.ok_value))
        ended = await self._store.get(tables.ENDED, workflow_id)
        if isinstance(ended, Err):
            return ended
        if ended.ok_value is not None:
            return Ok(WorkflowState(ended.ok_value.value["state"]))
        if submission.ok_value is None:
            return Ok(None)
        return Ok(WorkflowState.PENDING)

    @staticmethod
    def _progress_state(progress: Row) -> WorkflowState:
        """Return the state that a progress row stands for."""
        if progress.value.get("cancelled"):
            return WorkflowState.CANCELLED
        if progress.value.get("failed"):
            return WorkflowState.FAILED
        return WorkflowState.RUNNING

    def _write_outcome(
        self, result: Result[None, TableFailure], refusal_is_certain: bool
    ) -> CallOutcome:
        if isinstance(result, Ok):
            self._store_health.record_answer(self._clock.now())
            return CallOutcome.ACCEPTED
        failure = result.err_value
        if isinstance(failure, TableRejected):
            self._store_health.record_answer(self._clock.now())
            return (
                CallOutcome.INVALID
                if refusal_is_certain
                else CallOutcome.UNKNOWN
            )
        self._store_health.record_failure(failure.detail, self._clock.now())
        if refusal_is_certain and isinstance(failure, TableRefused):
            return CallOutcome.REFUSED
        return CallOutcome.UNKNOWN
