"""Route table of one version of the manifest."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.routing.queue_route import QueueRoute


@dataclass(frozen=True, slots=True)
class _HostRoutes:
    """Routes of one host.

    :param by_prefix: the first route of each path prefix
    :param lengths: lengths of the prefixes, longest first
    """

    by_prefix: dict[str, QueueRoute]
    lengths: tuple[int, ...]

    def resolve(self, path: str) -> QueueRoute | None:
        """Return the route with the longest prefix of a path."""
        for length in self.lengths:
            route = self.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Maps calls to queues by host and longest matching path prefix.

    :param version: version of the manifest
    :param routes: routes of all queues; the first of several with the same
        host and prefix takes their calls
    :param max_body_bytes: maximum size of a request body
    :param body_timeout_s: seconds within which a request body must arrive
    """

    version: int
    routes: tuple[QueueRoute, ...]
    max_body_bytes: int
    body_timeout_s: float
    _by_host: dict[str, _HostRoutes] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        """Index the routes by host and prefix."""
        prefixes: dict[str, dict[str, QueueRoute]] = {}
        for route in self.routes:
            of_host = prefixes.setdefault(route.host, {})
            of_host.setdefault(route.path_prefix, route)
        for host, by_prefix in prefixes.items():
            lengths = sorted({len(prefix) for prefix in by_prefix})
            self._by_host[host] = _HostRoutes(by_prefix, tuple(lengths[::-1]))

    def resolve(self, host: str, path: str) -> QueueRoute | None:
        """Find the queue of a call.

        :param host: host name of the call without port, in any case
        :param path: URL path of the call
        :returns: the route with the longest matching prefix, None when no
            route matches
        """
        routes = self._by_host.get(host.lower())
        return routes.resolve(path) if routes is not None else None
