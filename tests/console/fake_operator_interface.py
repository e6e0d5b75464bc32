"""Fake of the operator interface of an entry."""

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
    """An HTTP server for versioned documents that runs in its own thread.

    Tests set ``before_put`` to act between the calls of a command,
    ``fail_after_write`` to answer 504 after a write took effect,
    ``stale_documents`` to let reads return older versions, and
    ``applied_revisions`` to let entries lag, by entry name.
    """

    def __init__(self) -> None:
        """Start the server on a free port and wait until it is ready."""
        self.documents: dict[str, tuple[int, str]] = {}
        self.stale_documents: dict[str, tuple[int, str]] | None = None
        self.applied_revisions: dict[str, int] | None = None
        self.before_put: Callable[[], None] = lambda: None
        self.fail_after_write = False
        self.write_count = 0
        self.read_count = 0
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
        deadline = time.monotonic() + 10
        while not self._server.started and time.monotonic() < deadline:
            time.sleep(0.01)

    def close(self) -> None:
        """Stop the server and its thread."""
        self._server.should_exit = True
        self._thread.join(10)
        self._socket.close()

    def write(self, service: str, text: str, expected: int) -> int | None:
        """Write a document if the expected version is current.

        :param service: name of the service
        :param text: YAML text
        :param expected: version to replace, 0 if there must be none
        :returns: the new version, None in a conflict
        """
        with self._lock:
            version = self.documents.get(service, (0, ""))[0]
            if version != expected:
                return None
            self.documents[service] = (version + 1, text)
            self.write_count += 1
            return version + 1

    async def _get(self, request: Request) -> JSONResponse:
        service = request.path_params["service"]
        self.read_count += 1
        visible = (
            self.documents
            if self.stale_documents is None
            else self.stale_documents
        )
        if request.headers.get("authorization") != f"Bearer {TOKEN}":
            return JSONResponse({"error": "unauthorized"}, 401)
        if service not in visible:
            return JSONResponse({"error": "not-found"}, 404)
        version, text = visible[service]
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
            current = self.documents.get(service, (0, ""))[0]
            return JSONResponse({"error": "conflict", "version": current}, 409)
        if self.fail_after_write:
            return JSONResponse({"error": "gateway"}, 504)
        return JSONResponse({"version": version, "revision": self.write_count})

    async def _status(self, request: Request) -> JSONResponse:
        version = self.documents[request.path_params["service"]][0]
        revisions = self.applied_revisions or {
            "e1": self.write_count,
            "e2": self.write_count,
        }
        return JSONResponse(
            {
                "version": version,
                "revision": self.write_count,
                "entries": revisions,
                "in_force": min(revisions.values()) >= self.write_count,
            }
        )
