"""HTTP server of a stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.adapters.http.uvicorn_server import UvicornServer
from carawaystep.standin.http.standin_protocol import StandinProtocol

if TYPE_CHECKING:
    from uvicorn.protocols.http.h11_impl import H11Protocol


class StandinServer(UvicornServer):
    """Server whose application can abort connections."""

    def _protocol_class(self) -> type[H11Protocol]:
        return StandinProtocol
