"""Port to the placement service."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result

    from carawaystep.planner.advice_request import AdviceRequest


class PlacementAdvisor(ABC):
    """Client of the service that decides which workers may run a step.

    The scheduler does not know the rules by which it decides. Its answer is
    binding: workers reject a start without a valid ticket. It is asked only
    for queues whose starts need tickets.
    """

    @abstractmethod
    async def ask(self, request: AdviceRequest) -> Result[dict[str, str], str]:
        """Send a request once, without retries.

        :returns: tickets by id of the workers that may run the step, or the
            reason for which there is no answer
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
