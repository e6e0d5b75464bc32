"""Base class of the checks of changed routes."""

from __future__ import annotations

from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from carawaystep.configuration_check.check import Check
from carawaystep.configuration_check.location import Location
from carawaystep.configuration_check.location import Section

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.configuration_check.configuration import CheckSubject
    from carawaystep.configuration_check.field_detail import FieldDetail
    from carawaystep.configuration_check.finding import Finding
    from carawaystep.routing.queue_route import QueueRoute
    from carawaystep.routing.route_table import RouteTable


@dataclass(frozen=True, slots=True)
class KeptRoute:
    """A route of the configuration that is in force under the same name.

    :param before: the route in force
    :param after: the route of the configuration
    :param timeout_before_s: time-out of its calls that is in force
    :param timeout_after_s: time-out of its calls in the configuration
    :param table: all routes of the configuration
    """

    before: QueueRoute
    after: QueueRoute
    timeout_before_s: float
    timeout_after_s: float
    table: RouteTable


class RouteChangeCheck(Check):
    """Compares each route with the one in force under its name."""

    def run(self, subject: CheckSubject) -> Iterator[Finding]:
        """Yield a finding for each change."""
        if subject.in_force is None:
            return
        in_force = {
            route.name: (route, timeout_s)
            for route, timeout_s in zip(
                subject.in_force.table.routes,
                subject.in_force.call_timeouts_s,
                strict=True,
            )
        }
        table = subject.configuration.table
        for position, (route, timeout_s) in enumerate(
            zip(
                table.routes,
                subject.configuration.call_timeouts_s,
                strict=True,
            )
        ):
            if route.name not in in_force:
                continue
            before, timeout_before_s = in_force[route.name]
            kept = KeptRoute(before, route, timeout_before_s, timeout_s, table)
            for change in self._changes(kept):
                place = Location(Section.ROUTES, position, change.field)
                yield self._finding(subject, place, change.detail)

    @abstractmethod
    def _changes(self, kept: KeptRoute) -> Iterator[FieldDetail]:
        """Yield the changes of fields."""


def describe_new_destination(table: RouteTable, route: QueueRoute) -> str:
    """Return where calls to a former address of a queue go.

    :param table: routes of the new configuration
    :param route: route with the former address
    """
    taken_by = table.resolve(route.host, route.path_prefix)
    if taken_by is None or taken_by.path_prefix != route.path_prefix:
        return "get 404"
    return f'go to "{taken_by.name}"'
