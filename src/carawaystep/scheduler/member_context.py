"""What a holder needs of its member."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.cluster.messages import FromMember


class MemberContext(ABC):
    """Term, grant and connection of a member."""

    @property
    @abstractmethod
    def now(self) -> float:
        """Return the present time, seconds of a steady clock."""

    @property
    @abstractmethod
    def term(self) -> int:
        """Return the highest term heard of."""

    @abstractmethod
    def holds_grant(self, term: int) -> bool:
        """Tell whether workers may be called for a term's leader now."""

    @abstractmethod
    async def send(self, message: FromMember) -> bool:
        """Send a message to the present leader."""
