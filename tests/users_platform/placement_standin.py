"""Stand-in of the users' placement service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

if TYPE_CHECKING:
    from starlette.requests import Request

TICKET_VALIDITY_S = 3.0
_TIME_PER_CALL_S = 0.02


class PlacementStandin:
    """Issues tickets for the allowed workers.

    :ivar allowed: ids of the workers that may run every step
    :ivar calls_to_refuse: number of following calls that get status 429
    :ivar calls: number of calls that were not refused
    :ivar per_worker_s: time that a call takes for each worker, seconds
    """

    def __init__(self) -> None:
        """Create a service that allows no worker."""
        self.allowed: set[str] = set()
        self.calls_to_refuse = 0
        self.calls = 0
        self.per_worker_s = 0.005
        self._issued_at: dict[str, float] = {}

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[Route("/api/advise", self._advise, methods=["POST"])]
        )

    def is_ticket_valid(self, ticket: str, worker: str, step: str) -> bool:
        """Tell whether a ticket is valid for a start of a step on a worker."""
        if ticket.partition("@")[0] != f"{worker}/{step}":
            return False
        issued_at = self._issued_at.get(ticket)
        now = asyncio.get_running_loop().time()
        return issued_at is not None and now - issued_at < TICKET_VALIDITY_S

    async def _advise(self, request: Request) -> Response:
        if self.calls_to_refuse:
            self.calls_to_refuse -= 1
            return Response(status_code=429)
        body = await request.json()
        await asyncio.sleep(
            _TIME_PER_CALL_S + self.per_worker_s * len(body["workers"])
        )
        self.calls += 1
        allowed = []
        for worker in body["workers"]:
            if worker in self.allowed:
                ticket = f"{worker}/{body['step']}@{self.calls}"
                now = asyncio.get_running_loop().time()
                self._issued_at[ticket] = now
                allowed.append([worker, ticket])
        return JSONResponse({"allowed": allowed, "validity_ms": 3000})
