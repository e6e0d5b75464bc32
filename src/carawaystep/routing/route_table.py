"""Route table of one version of the manifest."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.routing.queue_route import QueueRoute


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Maps calls to queues by host and longest matching path prefix.

    :param version: version of the manifest
    :param routes: routes of all queues
    :param max_body_bytes: maximum size of a request body
    :param body_timeout_s: seconds within which a request body must arrive
    """

    version: int
    routes: tuple[QueueRoute, ...]
    max_body_bytes: int
    body_timeout_s: float
    _by_host: dict[str, list[QueueRoute]] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        """Index the routes by host, in order of decreasing prefix length."""
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def resolve(self, host: str, path: str) -> QueueRoute | None:
        """Find the queue of a call.

        :param host: host name of the call without port, in any case
        :param path: URL path of the call
        :returns: the route with the longest matching prefix, None when no
            route matches
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None
