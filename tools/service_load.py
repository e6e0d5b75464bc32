"""Requests and jobs of all services of an example."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.document.service_kind import ServiceKind
from tools.job_driver import JobDriver
from tools.load_generator import LoadGenerator

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from tools.call_record import CallRecord
    from tools.entry_rotation import EntryRotation
    from tools.example_service import ExampleService
    from tools.http_caller import HttpCaller
    from tools.load_plan import LoadPlan


class ServiceLoad:
    """A generator or a driver for each service, by its kind."""

    def __init__(
        self,
        services: Sequence[ExampleService],
        plan: Callable[[ExampleService], LoadPlan],
        rotation: EntryRotation,
        caller: HttpCaller,
        token: str,
    ) -> None:
        """Create a load; nothing is sent yet.

        :param services: services to use
        :param plan: returns the amount of load of a latency-critical service
        :param rotation: entries to send to
        :param caller: sends the calls
        :param token: token with the role caller
        """
        self._generators = [
            LoadGenerator(service, plan(service), rotation, caller, token)
            for service in services
            if service.kind is ServiceKind.LATENCY_CRITICAL
        ]
        self._drivers = [
            JobDriver(service.name, rotation, caller, token)
            for service in services
            if service.kind is ServiceKind.BATCH
        ]

    @property
    def generators(self) -> list[LoadGenerator]:
        """Return the senders of requests."""
        return self._generators

    @property
    def drivers(self) -> list[JobDriver]:
        """Return the submitters of jobs."""
        return self._drivers

    @property
    def calls(self) -> list[CallRecord]:
        """Return the records of all requests so far."""
        return [
            record
            for generator in self._generators
            for record in generator.records
        ]
