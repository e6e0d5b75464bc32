"""Server of the stand-in platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.standin.http.standin_server import StandinServer
from carawaystep.standin.platform.application import PlatformApplication
from carawaystep.standin.platform.standin_platform import StandinPlatform

if TYPE_CHECKING:
    import asyncio

    from carawaystep.settings.standin_platform_settings import (
        StandinPlatformSettings,
    )

_STOP_GRACE_S = 1.0


async def serve(
    settings: StandinPlatformSettings, stop: asyncio.Event
) -> None:
    """Serve the stand-in platform until the stop event is set.

    :param settings: rate limits, VMs and listen address
    :param stop: event that ends the server
    """
    application = PlatformApplication(StandinPlatform(settings))
    server = StandinServer(
        application.create_asgi_app(), settings.http.host, settings.http.port
    )
    await server.start()
    try:
        await stop.wait()
    finally:
        await server.stop(_STOP_GRACE_S)
