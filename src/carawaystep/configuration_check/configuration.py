"""A validated configuration, and what it is checked against."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from carawaystep.routing.route_table import RouteTable

if TYPE_CHECKING:
    from carawaystep.configuration_check.declared_work import DeclaredWork
    from carawaystep.configuration_check.field_paths import FieldPaths
    from carawaystep.configuration_check.fleet import Fleet
    from carawaystep.configuration_check.location import Location
    from carawaystep.document.service_spec import ServiceSpec


def _no_routes() -> RouteTable:
    return RouteTable(0, (), 0, 0.0)


@dataclass(frozen=True, slots=True)
class Configuration:
    """A configuration that its reader accepts.

    :param table: the routes, with the version and the limits of calls
    :param call_timeouts_s: for each route the seconds after which its calls
        end without an answer, 0 when none is stated
    :param services: names of the declared services in their order, empty
        when the configuration declares none
    :param work: work whose size is declared
    :param documents: service documents, of which each declares the work in
        its position
    """

    table: RouteTable = field(default_factory=_no_routes)
    call_timeouts_s: tuple[float, ...] = ()
    services: tuple[str, ...] = ()
    work: tuple[DeclaredWork, ...] = ()
    documents: tuple[ServiceSpec, ...] = ()


@dataclass(frozen=True, slots=True)
class CheckSubject:
    """A configuration to check.

    :param configuration: the configuration
    :param paths: names of its fields
    :param smallest_body_bytes: size of the smallest valid submission
    :param in_force: configuration that it is to replace, None when unknown
    :param fleet: workers that it is for, None when unknown
    """

    configuration: Configuration
    paths: FieldPaths
    smallest_body_bytes: int = 0
    in_force: Configuration | None = None
    fleet: Fleet | None = None

    def path(self, location: Location) -> str:
        """Return the path of a place in the words of the file."""
        return self.paths.path(location)
