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

VALIDITY_S = 3.0
_DECISION_S = 0.02
_WORKER_S = 0.005


class PlacementStandin:
    """Issues tickets for the workers that it allows.

    :ivar allowed: ids of the workers that may run any step
    :ivar refuse_next: how many calls get 429
    """

    def __init__(self) -> None:
        """Create a service that allows no worker."""
        self.allowed: set[str] = set()
        self.refuse_next = 0
        self.calls = 0
        self._issued: dict[str, float] = {}

    def app(self) -> Starlette:
        """Return the application."""
        return Starlette(
            routes=[Route("/api/advise", self._advise, methods=["POST"])]
        )

    def accepts(self, ticket: str, worker: str, step: str) -> bool:
        """Tell whether a start on a worker carries a valid ticket."""
        if ticket.partition("@")[0] != f"{worker}/{step}":
            return False
        issued_at = self._issued.get(ticket)
        now = asyncio.get_running_loop().time()
        return issued_at is not None and now - issued_at < VALIDITY_S

    async def _advise(self, request: Request) -> Response:
        if self.refuse_next:
            self.refuse_next -= 1
            return Response(status_code=429)
        body = await request.json()
        await asyncio.sleep(_DECISION_S + _WORKER_S * len(body["workers"]))
        self.calls += 1
        allowed = []
        for worker in body["workers"]:
            if worker in self.allowed:
                ticket = f"{worker}/{body['step']}@{self.calls}"
                now = asyncio.get_running_loop().time()
                self._issued[ticket] = now
                allowed.append([worker, ticket])
        return JSONResponse({"allowed": allowed, "validity_ms": 3000})
