"""Port to the placement service."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result

    from carawaystep.planner.advice_request import AdviceRequest


class PlacementAdvisor(ABC):
    """The only place that knows which workers may run a step of a queue."""

    @abstractmethod
    async def ask(self, request: AdviceRequest) -> Result[dict[str, str], str]:
        """Ask once.

        :returns: ticket by id of the workers that may run the step, or why
            there is no answer
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
