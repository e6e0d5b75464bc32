"""Stubs of a store and a worker, in a separate process, without delays."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from multiprocessing import get_context
import socket
import time
from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from carawaystep.adapters.http.uvicorn_server import UvicornServer

if TYPE_CHECKING:
    from collections.abc import Iterator

    from starlette.requests import Request

_HOST = "127.0.0.1"
_START_TIMEOUT_S = 10.0
_RUNNING_ROWS = ",".join(
    f'["5c0e7a21d94b36f8.0.1.{number}",2,"00000bb87a21d94b",41,12]'
    for number in range(8)
)
_HOLD_BODY = (
    f'{{"clock_ms":1000,"born":7,"running":[{_RUNNING_ROWS}],"finished":[]}}'
)
_ORDER_BODY = '{"clock_ms":1000}'
_COMMIT_BODY = '{"schema_version":412,"now_ms":51230}'


@contextmanager
def stub_services() -> Iterator[str]:
    """Run the stubs in a separate process until the context ends.

    :returns: IP address and port of both stubs
    :raises ConnectionRefusedError: the process does not listen in time
    """
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        port: int = probe.getsockname()[1]
    process = get_context("spawn").Process(target=_main, args=(port,))
    process.start()
    try:
        _wait_until_open(port)
        yield f"{_HOST}:{port}"
    finally:
        process.terminate()
        process.join()


def _wait_until_open(port: int) -> None:
    deadline = time.monotonic() + _START_TIMEOUT_S
    while True:
        try:
            socket.create_connection((_HOST, port), 1.0).close()
        except ConnectionRefusedError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.05)
        else:
            return


def _main(port: int) -> None:
    asyncio.run(_serve(port))


async def _serve(port: int) -> None:
    server = UvicornServer(
        Starlette(
            routes=[
                _route("/api/hold", _HOLD_BODY),
                _route("/api/run-start", _ORDER_BODY),
                _route("/api/rows-tx", _COMMIT_BODY),
            ]
        ),
        _HOST,
        port,
    )
    await server.start()
    await asyncio.Event().wait()


def _route(path: str, body: str) -> Route:
    async def answer(request: Request) -> Response:
        await request.body()
        return Response(body, media_type="application/json")

    return Route(path, answer, methods=["POST"])
