"""HTTP servers on assigned loopback ports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.adapters.http.uvicorn_server import UvicornServer
from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from starlette.types import ASGIApp


def bind_server(app: ASGIApp) -> UvicornServer:
    """Return a server whose port is bound and that is not started."""
    server = UvicornServer(app, LOOPBACK_HOST, 0)
    server.bind()
    return server
