"""Interface of the policies that choose a worker for a task."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.workflow.step_spec import StepSpec


class TaskPlacementPolicy(ABC):
    """Chooses among the workers that may run a task."""

    @abstractmethod
    def shortlist(
        self, step: StepSpec, candidates: Iterable[TrackedWorker], now: float
    ) -> list[TrackedWorker]:
        """Return the candidates on which a step may be placed now.

        The list is computed once for all tasks of the step. While tasks are
        placed no other worker can join it, because placements only reduce
        capacity; the caller checks that its workers still fit.

        :param step: step of the tasks
        :param candidates: usable workers that suit the step and have
            capacity for a task of it
        :param now: current time, seconds of a monotonic clock
        """

    @abstractmethod
    def choose(
        self, step: StepSpec, candidates: Iterable[TrackedWorker], now: float
    ) -> TrackedWorker | None:
        """Return the worker for one more task, None to wait.

        :param step: step of the task
        :param candidates: usable workers that suit the step and have
            capacity for a task of it
        :param now: current time, seconds of a monotonic clock
        """

    @abstractmethod
    def choose_despite_harm(
        self, step: StepSpec, candidates: Iterable[TrackedWorker]
    ) -> TrackedWorker | None:
        """Return the worker on which one more task does the least harm.

        Workers without idle CPU for it count only if they have unreserved
        CPU, which best-effort tasks share.

        :param step: step of a task that has waited too long
        :param candidates: usable workers that suit the step and have
            capacity for a task of it
        """
