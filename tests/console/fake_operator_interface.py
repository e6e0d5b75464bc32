"""Fake of an entry's operator interface."""

from __future__ import annotations

import socket
import threading
import time
from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route
import uvicorn

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette.requests import Request

TOKEN = "secret"


class FakeOperatorInterface:
    """Documents with versions behind HTTP, in a thread of its own.

    Tests set ``before_put`` to act between the calls of a command,
    ``lose_answer`` to fail after a write, ``shown`` to let reads lag, and
    ``entries`` to the revisions in force.
    """

    def __init__(self) -> None:
        """Start to listen on a free port."""
        self.documents: dict[str, tuple[int, str]] = {}
        self.shown: dict[str, tuple[int, str]] | None = None
        self.entries: dict[str, int] | None = None
        self.before_put: Callable[[], None] = lambda: None
        self.lose_answer = False
        self.writes = 0
        self.reads = 0
        self._lock = threading.Lock()
        self._socket = socket.create_server(("127.0.0.1", 0))
        port = self._socket.getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"
        path = "/v1/documents/{service}"
        routes = [
            Route(path, self._get, methods=["GET"]),
            Route(path, self._put, methods=["PUT"]),
            Route(path + "/status", self._status, methods=["GET"]),
        ]
        config = uvicorn.Config(
            Starlette(routes=routes),
            loop="asyncio",
            http="h11",
            log_level="critical",
        )
        self._server = uvicorn.Server(config)
        self._thread = threading.Thread(
            target=self._server.run, args=([self._socket],)
        )
        self._thread.start()
        end = time.monotonic() + 10
        while not self._server.started and time.monotonic() < end:
            time.sleep(0.01)

    def close(self) -> None:
        """Stop the server and its thread."""
        self._server.should_exit = True
        self._thread.join(10)
        self._socket.close()

    def write(self, service: str, text: str, expected: int) -> int | None:
        """Return the new version, None in a conflict."""
        with self._lock:
            version = self.documents.get(service, (0, ""))[0]
            if version != expected:
                return None
            self.documents[service] = (version + 1, text)
            self.writes += 1
            return version + 1

    async def _get(self, request: Request) -> JSONResponse:
        service = request.path_params["service"]
        self.reads += 1
        shown = self.documents if self.shown is None else self.shown
        if request.headers.get("authorization") != f"Bearer {TOKEN}":
            return JSONResponse({"error": "unauthorized"}, 401)
        if service not in shown:
            return JSONResponse({"error": "not-found"}, 404)
        version, text = shown[service]
        return JSONResponse(
            {"service": service, "version": version, "text": text}
        )

    async def _put(self, request: Request) -> JSONResponse:
        service = request.path_params["service"]
        text = (await request.body()).decode()
        self.before_put()
        expected = int(request.query_params["expected"])
        version = self.write(service, text, expected)
        if version is None:
            present = self.documents.get(service, (0, ""))[0]
            return JSONResponse({"error": "conflict", "version": present}, 409)
        if self.lose_answer:
            return JSONResponse({"error": "gateway"}, 504)
        return JSONResponse({"version": version, "revision": self.writes})

    async def _status(self, request: Request) -> JSONResponse:
        version = self.documents[request.path_params["service"]][0]
        entries = self.entries or {"e1": self.writes, "e2": self.writes}
        return JSONResponse(
            {
                "version": version,
                "revision": self.writes,
                "entries": entries,
                "in_force": min(entries.values()) >= self.writes,
            }
        )
