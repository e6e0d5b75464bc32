"""Interface of a member for its proxies."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
    from carawaystep.cluster.messages import FromMember
    from carawaystep.scheduler.lease_extensions import LeaseExtensions


class MemberContext(ABC):
    """Clock, term and grant of a member, and its connection to the leader."""

    @property
    @abstractmethod
    def now(self) -> float:
        """Return the current time in seconds, monotonic."""

    @property
    @abstractmethod
    def term(self) -> int:
        """Return the highest known term."""

    @property
    @abstractmethod
    def lease_extensions(self) -> LeaseExtensions:
        """Return the record of the leases that this process extends."""

    @property
    @abstractmethod
    def evacuated_zones(self) -> EvacuatedZones:
        """Return the evacuated zones as this process has read them."""

    @abstractmethod
    def holds_grant(self, term: int) -> bool:
        """Tell whether the grant to call workers for a term is valid."""

    @abstractmethod
    async def send(self, message: FromMember) -> bool:
        """Send a message to the current leader.

        :returns: False if it certainly does not arrive
        """
