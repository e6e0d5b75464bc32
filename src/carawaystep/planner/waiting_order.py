"""Interface of the orders in which waiting workflows are placed."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.workflow.workflow import Workflow

# Sort key of a workflow; the lowest one is placed first.
WaitingRank = tuple[float | str, ...]


class WaitingOrder(ABC):
    """Ranks the workflows with tasks to place.

    The ranks of one order have the same length and are comparable, and no
    two workflows share a rank.
    """

    @abstractmethod
    def rank(self, workflow: Workflow, wall_now: float) -> WaitingRank:
        """Return the rank of a workflow.

        :param workflow: workflow that has not ended
        :param wall_now: current wall-clock time in seconds
        """
