"""Base classes of checks."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import ClassVar
from typing import TYPE_CHECKING

from carawaystep.configuration_check.finding import Finding
from carawaystep.configuration_check.location import Location
from carawaystep.configuration_check.location import Section

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.configuration_check.configuration import CheckSubject
    from carawaystep.configuration_check.configured_field import (
        ConfiguredField,
    )
    from carawaystep.configuration_check.finding_code import FindingCode
    from carawaystep.configuration_check.severity import Severity
    from carawaystep.routing.queue_route import QueueRoute


class Check(ABC):
    """Finds one kind of mistake, contradiction or change.

    :cvar code: code of its findings
    :cvar severity: severity of its findings
    :cvar advice: what to do about a finding, on one line
    """

    code: ClassVar[FindingCode]
    severity: ClassVar[Severity]
    advice: ClassVar[str]

    @abstractmethod
    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield the findings in the order of the configuration."""

    def _finding(
        self, subject: CheckSubject, location: Location, detail: str
    ) -> Finding:
        path = subject.path(location)
        return Finding(self.code, self.severity, path, detail, self.advice)


class RouteCheck(Check):
    """Checks each route by itself.

    :cvar field: field that a finding points at
    """

    field: ClassVar[ConfiguredField]

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding for each route with a problem."""
        configuration = subject.configuration
        for position, (route, timeout_s) in enumerate(
            zip(
                configuration.table.routes,
                configuration.call_timeouts_s,
                strict=True,
            )
        ):
            problem = self._find_problem(route, timeout_s)
            if problem:
                place = Location(Section.ROUTES, position, self.field)
                yield self._finding(subject, place, problem)

    @abstractmethod
    def _find_problem(self, route: QueueRoute, call_timeout_s: float) -> str:
        """Return what is wrong with a route, or an empty text.

        :param call_timeout_s: time-out of its calls, 0 when none is stated
        """
