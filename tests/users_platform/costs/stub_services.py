"""Stubs of a store and a worker, in a separate process, without delays."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from multiprocessing import get_context
from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from tests.adapters.http.bound_server import bind_server
from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from collections.abc import Iterator
    from multiprocessing.connection import Connection

    from starlette.requests import Request

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
    :raises TimeoutError: the process does not listen in time
    """
    context = get_context("spawn")
    receiver, sender = context.Pipe(duplex=False)
    process = context.Process(target=_main, args=(sender,))
    process.start()
    try:
        if not receiver.poll(_START_TIMEOUT_S):
            raise TimeoutError("the stubs did not start in time")
        yield f"{LOOPBACK_HOST}:{receiver.recv()}"
    finally:
        process.terminate()
        process.join()


def _main(port_sender: Connection) -> None:
    asyncio.run(_serve(port_sender))


async def _serve(port_sender: Connection) -> None:
    server = bind_server(
        Starlette(
            routes=[
                _route("/api/hold", _HOLD_BODY),
                _route("/api/run-start", _ORDER_BODY),
                _route("/api/rows-tx", _COMMIT_BODY),
            ]
        )
    )
    await server.start()
    port_sender.send(server.port)
    await asyncio.Event().wait()


def _route(path: str, body: str) -> Route:
    async def answer(request: Request) -> Response:
        await request.body()
        return Response(body, media_type="application/json")

    return Route(path, answer, methods=["POST"])
