"""The routes of one version of the manifest."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.routing.queue_route import QueueRoute


@dataclass(frozen=True, slots=True)
class RouteTable:
    """All queues of a version; the longest matching prefix wins.

    :param version: version of the manifest
    :param routes: its queues
    :param max_body_bytes: largest body of a call
    :param body_timeout_s: longest time until a body has arrived
    """

    version: int
    routes: tuple[QueueRoute, ...]
    max_body_bytes: int
    body_timeout_s: float
    _by_host: dict[str, list[QueueRoute]] = field(
        init=False, repr=False, compare=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        """Index the routes by host, the longest prefix first."""
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def resolve(self, host: str, path: str) -> QueueRoute | None:
        """Return the queue of a call, None when there is none.

        :param host: host of the call, without port
        :param path: path of the call
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None
