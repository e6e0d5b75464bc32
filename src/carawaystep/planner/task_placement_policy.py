"""Interface of the policies that choose a worker for a task."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.workflow.step_spec import StepSpec

# Sort key of a worker for one more task of a step; the lowest is the best.
Rank = tuple[float, ...]


class TaskPlacementPolicy(ABC):
    """Ranks the workers that may run a task.

    The rank of a worker depends on what runs on it and not on other workers,
    and a placement on a worker never makes it suit a task that it did not
    suit before.
    """

    @abstractmethod
    def has_room(self, step: StepSpec, worker: TrackedWorker) -> bool:
        """Tell whether a worker has the resources that a task should find.

        Where it is False, it is False for each step of the same kind that
        needs more.

        :param step: step of the task
        :param worker: usable worker
        """

    @abstractmethod
    def rank(
        self, step: StepSpec, worker: TrackedWorker, now: float
    ) -> Rank | None:
        """Return how well a worker suits one more task of a step.

        :param step: step of the task
        :param worker: usable worker for which :meth:`has_room` is True
        :param now: current time, seconds of a monotonic clock
        :returns: the rank, None if the task should not start there now
        """

    @abstractmethod
    def rank_despite_harm(
        self, step: StepSpec, worker: TrackedWorker
    ) -> Rank | None:
        """Return how little one more task of a step harms others.

        Workers without idle CPU for it count only if they have unreserved
        CPU, which best-effort tasks share.

        :param step: step of a task that has waited too long
        :param worker: usable worker that has capacity for the task
        :returns: the rank, None if the task cannot run there
        """
