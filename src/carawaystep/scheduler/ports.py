"""Outbound ports of a scheduler process."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.availability_zone.evacuation_source import (
        EvacuationSource,
    )
    from carawaystep.cluster.leader_port import LeaderPort
    from carawaystep.cluster.member_channel import MemberChannel
    from carawaystep.entry.clock import Clock
    from carawaystep.fleet.placement_advisor import PlacementAdvisor
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.fleet.worker_link import WorkerLink
    from carawaystep.fleet.worker_list import WorkerList
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.routing.route_source import RouteSource
    from carawaystep.store.table_service import TableService


class SchedulerPorts(ABC):
    """Access to all services outside the process."""

    @property
    @abstractmethod
    def clock(self) -> Clock:
        """Return the clock of the process."""

    @property
    @abstractmethod
    def store(self) -> TableService:
        """Return the store."""

    @property
    @abstractmethod
    def route_source(self) -> RouteSource:
        """Return the source of the route table."""

    @property
    @abstractmethod
    def evacuation_source(self) -> EvacuationSource:
        """Return the decoder of the requests in the table of the routes."""

    @property
    @abstractmethod
    def worker_list(self) -> WorkerList:
        """Return the decoder of the table that lists the workers."""

    @property
    @abstractmethod
    def leader_port(self) -> LeaderPort:
        """Return the socket on which leaders reach this process."""

    @property
    @abstractmethod
    def log(self) -> DecisionLog:
        """Return the decision log."""

    @property
    @abstractmethod
    def advisor(self) -> PlacementAdvisor:
        """Return the placement service."""

    @abstractmethod
    def open_worker_link(
        self, key: WorkerKey, address: str, lease_s: float
    ) -> WorkerLink:
        """Return a new link to one lifetime of a worker.

        :param key: id and lifetime of the worker
        :param address: network address of the worker
        :param lease_s: length of the leases that it is asked for, seconds
        """

    @abstractmethod
    def open_member_channel(self, address: str) -> MemberChannel:
        """Return a new connection to a member.

        :param address: ZeroMQ address of the member
        """
