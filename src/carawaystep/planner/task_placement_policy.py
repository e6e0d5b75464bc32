"""Choice of a worker for a task."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.workflow.step_spec import StepSpec


class TaskPlacementPolicy(ABC):
    """Policy that ranks workers which may run a task."""

    @abstractmethod
    def shortlist(
        self, step: StepSpec, candidates: Iterable[TrackedWorker], now: float
    ) -> list[TrackedWorker]:
        """Return the candidates that tasks of a step can be given now.

        A choice among them is made for each task, while placements only
        take room away.

        :param step: step of the tasks
        :param candidates: usable workers with room that the step allows
        :param now: present time, seconds of a steady clock
        """

    @abstractmethod
    def choose(
        self, step: StepSpec, candidates: Iterable[TrackedWorker], now: float
    ) -> TrackedWorker | None:
        """Return the worker for one more task, None to wait.

        :param step: step of the task
        :param candidates: usable workers with room that the step allows
        :param now: present time, seconds of a steady clock
        """

    @abstractmethod
    def choose_despite_harm(
        self, step: StepSpec, candidates: Iterable[TrackedWorker]
    ) -> TrackedWorker | None:
        """Return the worker on which one more task does least harm.

        :param step: step of a task that has waited too long
        :param candidates: usable workers with room that the step allows
        """
