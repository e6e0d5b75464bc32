"""Specification of a workflow as the caller submitted it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

# The codecs read the annotations at run time.
from carawaystep.workflow.step_spec import StepSpec  # noqa: TC001

if TYPE_CHECKING:
    from collections.abc import Collection

# An end later than this multiple of the target duration is of no use.
_USEFUL_TARGET_DURATIONS = 3.0


@dataclass(frozen=True, slots=True)
class WorkflowSpec:
    """An accepted submission, which never changes.

    :param id: id that the caller chose
    :param queue: name of the queue that it was submitted to
    :param service: service whose workers run the tasks
    :param payload: opaque text passed to each task
    :param steps: the steps, in order of their numbers
    :param priority: lower values go first and may preempt higher ones
    :param max_attempts: number of failures of a task that fail the workflow
    :param stretch: factor on the critical path in the deadline, see
        :attr:`target_duration_s`
    :param objective_s: constant part of the deadline in seconds
    :param accepted_at_s: wall-clock time of the acceptance in seconds
    :param occurrences: number of times that the steps run
    :param first_due_s: wall-clock time of occurrence 0 in seconds, 0 to start
        at once
    :param interval_s: seconds between occurrences
    :param permit_s: seconds for which a ticket of the placement service was
        valid at the acceptance, 0 when the queue needed no tickets
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
        """Tell whether occurrences start at set times."""
        return self.first_due_s > 0

    @property
    def long_running(self) -> bool:
        """Tell whether it runs until it is cancelled."""
        return any(step.long_running for step in self.steps)

    @property
    def best_effort(self) -> bool:
        """Tell whether all steps use only CPU that other tasks leave idle."""
        return all(step.fills for step in self.steps)

    def due_at_s(self, occurrence: int) -> float:
        """Return the wall-clock time from which an occurrence may start.

        :returns: time in seconds, 0 for a workflow that is not scheduled
        """
        if not self.scheduled:
            return 0.0
        return self.first_due_s + occurrence * self.interval_s

    def begin_at_s(self, occurrence: int) -> float:
        """Return the wall-clock time from which an occurrence's time counts.

        :returns: time in seconds, when it is due or was accepted
        """
        return self.due_at_s(occurrence) or self.accepted_at_s

    @property
    def target_duration_s(self) -> float:
        """Return the time in which an occurrence is to end, in seconds.

        It is ``objective_s`` plus ``stretch`` times the critical path.
        """
        return self.objective_s + self.stretch * self.critical_path_s()

    @property
    def useful_duration_s(self) -> float:
        """Return the time after which an end is of no use, in seconds."""
        return _USEFUL_TARGET_DURATIONS * self.target_duration_s

    def critical_path_s(
        self, done_steps: Collection[int] = frozenset()
    ) -> float:
        """Return the declared run time of the longest chain of steps.

        :param done_steps: numbers of steps that take no more time
        """
        ends: list[float] = []
        for number, step in enumerate(self.steps):
            begin = max((ends[earlier] for earlier in step.after), default=0.0)
            run_s = 0.0 if number in done_steps else step.estimated_s
            ends.append(begin + run_s)
        return max(ends, default=0.0)
