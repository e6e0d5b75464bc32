"""What a session needs of the leader."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.cluster.messages import Message
    from carawaystep.scheduler.member_session import MemberSession


class LeaderContext(ABC):
    """Term and state of the leader."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Return the name of the leader's node."""

    @property
    @abstractmethod
    def term(self) -> int:
        """Return the term."""

    @property
    @abstractmethod
    def now(self) -> float:
        """Return the present time, seconds of a steady clock."""

    @abstractmethod
    def may_lead(self, now: float) -> bool:
        """Tell whether the store confirmed the term recently enough."""

    @abstractmethod
    def store_age(self, now: float) -> float:
        """Return seconds since the store confirmed the term."""

    @abstractmethod
    def doubt_term(self) -> None:
        """Have the store asked at once whether the term still holds."""

    @abstractmethod
    async def take(self, session: MemberSession, message: Message) -> None:
        """Take a message of a member."""
