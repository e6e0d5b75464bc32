"""State machine of a job."""

from __future__ import annotations

from transitions import Machine

from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.job.job_state import JobState

# No code triggers "checkpoint" yet.
_TRANSITIONS = (
    ("assign", JobState.QUEUED, JobState.ASSIGNED),
    ("checkpoint", JobState.ASSIGNED, JobState.CHECKPOINTING),
    ("requeue", JobState.ASSIGNED, JobState.QUEUED),
    ("requeue", JobState.CHECKPOINTING, JobState.QUEUED),
    ("requeue", JobState.CANCELLING, JobState.CANCELLED),
    ("finish", JobState.ASSIGNED, JobState.DONE),
    ("finish", JobState.CHECKPOINTING, JobState.DONE),
    ("finish", JobState.CANCELLING, JobState.DONE),
    ("park", JobState.QUEUED, JobState.PARKED),
    ("park", JobState.ASSIGNED, JobState.PARKED),
    ("park", JobState.CHECKPOINTING, JobState.PARKED),
    ("park", JobState.CANCELLING, JobState.CANCELLED),
    ("cancel", JobState.QUEUED, JobState.CANCELLED),
    ("cancel", JobState.ASSIGNED, JobState.CANCELLING),
    ("cancel", JobState.CHECKPOINTING, JobState.CANCELLING),
    ("cancel", JobState.CANCELLING, JobState.CANCELLING),
    ("revive", JobState.CANCELLED, JobState.QUEUED),
)


class JobLifecycle:
    """The state machine shared by all jobs.

    It holds no state of a job: one machine for each of about 28,700 jobs
    would take more memory than the jobs themselves.
    """

    def __init__(self) -> None:
        """Build the machine."""
        self._machine = Machine(
            model=None,
            states=[state.value for state in JobState],
            transitions=[
                [trigger, source.value, dest.value]
                for trigger, source, dest in _TRANSITIONS
            ],
            initial=JobState.QUEUED.value,
            auto_transitions=False,
        )

    def next_state(self, state: JobState, trigger: str) -> JobState | None:
        """Return the state after a transition, None if it is not allowed.

        :param state: current state
        :param trigger: name of the transition, such as ``assign``
        :raises BrokenInvariant: when the state is not a job state
        """
        try:
            found = self._machine.get_transitions(
                trigger, self._machine.get_state(state.value)
            )
        except ValueError as exc:
            raise BrokenInvariant(f"unknown job state {state!r}") from exc
        if not found:
            return None
        return JobState(str(found[0].dest))
