"""Handlers of status, timeline, health checks and metrics."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

from carawaystep.access.role import Role
from carawaystep.adapters.http.health_view import HealthView
from carawaystep.adapters.http.http_error import HttpError
from carawaystep.adapters.http.replies import error_reply
from carawaystep.adapters.http.replies import model_reply
from carawaystep.adapters.http.statuses import retry_headers
from carawaystep.adapters.http.timeline_event_view import TimelineEventView
from carawaystep.adapters.http.timeline_view import TimelineView

if TYPE_CHECKING:
    from result import Result
    from starlette.requests import Request

    from carawaystep.adapters.http.handler_context import HandlerContext

_DEFAULT_SINCE_S = "300"
_SECONDS_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


class OperationHandlers:
    """Serves operators, the load balancer's checks and the metrics scrape."""

    def __init__(self, context: HandlerContext) -> None:
        """Create the handlers.

        :param context: dependencies of the handlers
        """
        self._context = context

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            Route("/v1/status", self.status, methods=["GET"]),
            Route("/v1/timeline", self.timeline, methods=["GET"]),
            Route("/healthz", self.healthz, methods=["GET"]),
            Route("/readyz", self.readyz, methods=["GET"]),
            Route("/metrics", self.metrics, methods=["GET"]),
        ]

    async def status(self, request: Request) -> Response:
        """Return the state of workers, queues and peers."""
        grant = self._context.authenticator.authorize(request, Role.OPERATOR)
        if isinstance(grant, Err):
            return error_reply(grant.err_value)
        return JSONResponse(self._context.service.status())

    async def timeline(self, request: Request) -> Response:
        """Return the events of the last ``since_s`` seconds."""
        grant = self._context.authenticator.authorize(request, Role.OPERATOR)
        if isinstance(grant, Err):
            return error_reply(grant.err_value)
        since_s = _parse_since(request)
        if isinstance(since_s, Err):
            return error_reply(since_s.err_value)
        now, events = self._context.service.timeline(since_s.ok_value)
        return model_reply(
            TimelineView(
                entry=self._context.settings.name,
                now=now,
                events=[
                    TimelineEventView.from_event(event) for event in events
                ],
            )
        )

    async def healthz(self, request: Request) -> Response:
        """Reply that the process is alive."""
        return model_reply(HealthView(status="ok"))

    async def readyz(self, request: Request) -> Response:
        """Reply whether the process accepts requests."""
        if self._context.service.ready:
            return model_reply(HealthView(status="ready"))
        error = HttpError(
            503,
            "not-ready",
            "this entry accepts no work now; send the call to another entry",
            retry_headers(503),
        )
        return error_reply(error)

    async def metrics(self, request: Request) -> Response:
        """Return the metrics in the Prometheus text format."""
        metrics = self._context.metrics
        metrics.set_gauge(
            "http_calls_running", self._context.runner.running_calls
        )
        return Response(
            metrics.render(), headers={"Content-Type": metrics.content_type}
        )


def _parse_since(request: Request) -> Result[float, HttpError]:
    text = request.query_params.get("since_s", _DEFAULT_SINCE_S)
    if _SECONDS_PATTERN.fullmatch(text):
        return Ok(float(text))
    return Err(
        HttpError(
            400,
            "bad-since",
            "since_s must be a decimal number of seconds, such as 60",
        )
    )
