"""What a caller submitted."""

from __future__ import annotations

from dataclasses import dataclass

# The codecs read the annotations at run time.
from carawaystep.workflow.step_spec import StepSpec  # noqa: TC001


@dataclass(frozen=True, slots=True)
class WorkflowSpec:
    """An accepted workflow; it never changes.

    :param id: id that the caller chose
    :param queue: name of the queue that it was submitted to
    :param service: service whose workers run the tasks
    :param payload: opaque text passed to each task
    :param steps: the steps, in order of their numbers
    :param priority: 0 goes first and may preempt others
    :param max_attempts: failures of a task that fail the workflow
    :param stretch: factor of the longest chain that is still on time
    :param objective_s: seconds beside the chain that are still on time
    :param accepted_at_s: wall-clock time of the acceptance
    :param occurrences: how often the steps run
    :param first_due_s: wall-clock time of occurrence 0, 0 for at once
    :param interval_s: seconds between occurrences
    :param permit_s: seconds for which a ticket of the placement service is
        valid, 0 when the queue needs none
    """

    id: str
    queue: str
    service: str
    payload: str
    steps: tuple[StepSpec, ...]
    priority: int
    max_attempts: int
    stretch: float
    objective_s: float
    accepted_at_s: float
    occurrences: int = 1
    first_due_s: float = 0.0
    interval_s: float = 0.0
    permit_s: float = 0.0

    @property
    def scheduled(self) -> bool:
        """Tell whether occurrences have times of their own."""
        return self.first_due_s > 0

    @property
    def needs_permits(self) -> bool:
        """Tell whether a start needs a ticket of the placement service."""
        return self.permit_s > 0

    @property
    def long_running(self) -> bool:
        """Tell whether it runs until it is cancelled."""
        return any(step.long_running for step in self.steps)

    def due_at_s(self, occurrence: int) -> float:
        """Return the wall-clock time at which an occurrence may start."""
        if not self.scheduled:
            return 0.0
        return self.first_due_s + occurrence * self.interval_s

    def critical_path_s(self) -> float:
        """Return the declared seconds of the longest chain of steps."""
        ends: list[float] = []
        for step in self.steps:
            begin = max((ends[number] for number in step.after), default=0.0)
            ends.append(begin + step.estimated_s)
        return max(ends, default=0.0)

    def urgency(self, wall_now: float) -> tuple[int, bool, float]:
        """Return a key that sorts the most urgent workflow first.

        Work that is already late yields to work that may still be on time.

        :param wall_now: current wall-clock time in seconds
        """
        due = self.accepted_at_s + self.objective_s
        due += self.stretch * self.critical_path_s()
        return self.priority, due < wall_now, due
