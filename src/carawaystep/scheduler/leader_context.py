"""Interface of a leader's term for its member sessions."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.cluster.messages import Message
    from carawaystep.entry.clock import Clock
    from carawaystep.scheduler.member_session import MemberSession


class LeaderContext(ABC):
    """Term, lease and message handling of the leader."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Return the name of the leader's node."""

    @property
    @abstractmethod
    def term(self) -> int:
        """Return the number of the term."""

    @property
    @abstractmethod
    def clock(self) -> Clock:
        """Return the clock of the process."""

    @property
    @abstractmethod
    def now(self) -> float:
        """Return the current time in seconds, monotonic."""

    @abstractmethod
    def may_lead(self, now: float) -> bool:
        """Tell whether the leader's lease is still valid."""

    @abstractmethod
    def confirmation_age(self, now: float) -> float:
        """Return the seconds since the store last confirmed the term."""

    @abstractmethod
    def silence_limit_s(self, now: float) -> float:
        """Return the seconds of silence after which it is to be replaced."""

    @abstractmethod
    def verified_at(self) -> float:
        """Return the last time at which the term was confirmed.

        It was by the store or by a majority of the voters, so that no other
        leader can have concluded before that this one has stopped.

        :returns: seconds of the leader's clock, minus infinity if never
        """

    @abstractmethod
    def request_term_check(self) -> None:
        """Request a check of the leader row ahead of the periodic one."""

    @abstractmethod
    def record_follower(self, address: str) -> None:
        """Record that the process at an address follows this term."""

    @abstractmethod
    def record_answer(
        self, address: str, incarnation: str, sent_at: float
    ) -> None:
        """Record that a member followed this term on a heartbeat.

        :param address: address of the member
        :param incarnation: id of its process
        :param sent_at: when the heartbeat was sent, seconds of the leader's
            clock
        """

    @abstractmethod
    async def handle_message(
        self, session: MemberSession, message: Message
    ) -> None:
        """Handle a message from a member."""
