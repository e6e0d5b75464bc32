"""Tests of the servers of the stand-ins over loopback."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from contextlib import closing
from contextlib import suppress
import json
import socket
from typing import Any
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.adapters.http.uvicorn_server import UvicornServer
from carawaystep.settings.standin_platform_settings import (
    StandinPlatformSettings,
)
from carawaystep.settings.standin_worker_settings import (
    StandinWorkerProcessSettings,
)
from carawaystep.standin.platform.server import serve as serve_platform
from carawaystep.standin.worker.server import serve as serve_workers
from tests.adapters.http.bound_server import bind_server
from tests.standin.event_loops import real_time
from tools.port_allocator import LOOPBACK_HOST
from tools.port_allocator import PortAllocator

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.types import Receive
    from starlette.types import Scope
    from starlette.types import Send

_FENCE = {"owner": "e1", "epoch": 1}
_REQUEST = (
    b"POST /v1/requests HTTP/1.1\r\nHost: w\r\nContent-Length: 4\r\n"
    b"Carawaystep-Epoch: 1\r\nCarawaystep-Request-Id: r1\r\n"
    b"Carawaystep-Service: slow\r\nCarawaystep-Needs: cpu=1\r\n\r\nbody"
)


async def _connect(
    port: int,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    while True:
        with suppress(ConnectionRefusedError):
            return await asyncio.open_connection(LOOPBACK_HOST, port)
        await asyncio.sleep(0.01)


async def _call(port: int, method: str, path: str, body: Any = None) -> Any:
    """Send one request and return the JSON body of the response.

    :raises ConnectionError: if the connection was closed without a response
    """
    reader, writer = await _connect(port)
    data = json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: w\r\nConnection: close\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    )
    writer.write(head.encode() + data)
    answer = await reader.read()
    writer.close()
    if not answer:
        raise ConnectionError("closed without a response")
    return json.loads(answer.partition(b"\r\n\r\n")[2])


@asynccontextmanager
async def _workers(count: int, **settings: Any) -> AsyncIterator[list[int]]:
    with closing(PortAllocator()) as allocator:
        ports = [allocator.reserve() for _ in range(count)]
        allocator.hand_over(ports)
        async with _workers_at(ports, **settings):
            yield ports


@asynccontextmanager
async def _workers_at(
    ports: list[int], **settings: Any
) -> AsyncIterator[None]:
    listen = [{"host": LOOPBACK_HOST, "port": port} for port in ports]
    workers = [
        {"name": f"w{number}", "http": http, **settings}
        for number, http in enumerate(listen)
    ]
    services = {"slow": {"median_ms": 300, "sigma": 0}}
    parsed = StandinWorkerProcessSettings.model_validate(
        {"workers": workers, "services": services}
    )
    stop = asyncio.Event()
    serving = asyncio.create_task(serve_workers(parsed, stop))
    try:
        yield
    finally:
        stop.set()
        await serving


async def _no_app(scope: Scope, receive: Receive, send: Send) -> None:
    """Accept connections without answering."""


class ServerTest(TestCase):
    """Connections, lost answers and shutdown."""

    @real_time
    async def test_workers_of_one_process_are_isolated(self) -> None:
        """Guards against workers that share a fence or keep listening."""
        async with _workers(3) as ports:
            fence = {"owner": "e1", "epoch": 4}
            await _call(ports[1], "POST", "/v1/fence", fence)
            lower = {"owner": "e1", "epoch": 2}
            answers = [
                await _call(port, "POST", "/v1/fence", lower) for port in ports
            ]
            epochs = [answer["epoch"] for answer in answers]
            self.assertEqual([2, 4, 2], epochs)
        for port in ports:
            with self.assertRaises(ConnectionRefusedError):
                await asyncio.open_connection(LOOPBACK_HOST, port)

    @real_time
    async def test_connections_beyond_the_limit_are_closed(self) -> None:
        """Guards against connections that are accepted beyond the limit."""
        async with _workers(1, connections=2) as (port,):
            kept = [await _connect(port) for _ in range(2)]
            with self.assertRaises(ConnectionError):
                await _call(port, "GET", "/ledger")
            kept[0][1].close()
            await asyncio.sleep(0.1)
            ledger = await _call(port, "GET", "/ledger")
            self.assertEqual([2, 2], ledger["peaks"]["connections"])
            kept[1][1].close()

    @real_time
    async def test_request_outlives_its_caller(self) -> None:
        """Guards against a ledger that omits work of a disconnected caller."""
        async with _workers(1) as (port,):
            await _call(port, "POST", "/v1/fence", _FENCE)
            _, writer = await _connect(port)
            writer.write(_REQUEST)
            await asyncio.sleep(0.1)
            writer.transport.abort()
            await asyncio.sleep(0.5)
            ledger = await _call(port, "GET", "/ledger")
            (execution,) = ledger["executions"]
            self.assertEqual("done", execution["how"])
            run_s = execution["end"] - execution["start"]
            self.assertAlmostEqual(0.3, run_s, 1)

    @real_time
    async def test_incomplete_request_never_runs(self) -> None:
        """Guards against work whose body did not arrive completely."""
        async with _workers(1) as (port,):
            _, writer = await _connect(port)
            writer.write(_REQUEST[:-1])
            writer.close()
            await asyncio.sleep(0.1)
            ledger = await _call(port, "GET", "/ledger")
            self.assertEqual([], ledger["executions"])

    @real_time
    async def test_lost_answer_closes_the_connection(self) -> None:
        """Guards against a lost answer that arrives in part."""
        async with _workers(1) as (port,):
            await _call(port, "POST", "/v1/fence", _FENCE)
            await _call(port, "POST", "/faults", {"lose_answers": 1})
            reader, writer = await _connect(port)
            writer.write(_REQUEST)
            with suppress(ConnectionResetError):
                self.assertEqual(b"", await reader.read())
            ledger = await _call(port, "GET", "/ledger")
            self.assertEqual("done", ledger["executions"][0]["how"])
            writer.close()

    @real_time
    async def test_platform_stops_despite_a_frozen_call(self) -> None:
        """Guards against a shutdown that waits for a frozen call."""
        allocator = PortAllocator()
        self.addCleanup(allocator.close)
        port = allocator.reserve()
        settings = StandinPlatformSettings.model_validate(
            {"http": {"host": LOOPBACK_HOST, "port": port}, "vms": []}
        )
        stop = asyncio.Event()
        allocator.hand_over((port,))
        serving = asyncio.create_task(serve_platform(settings, stop))
        await _call(port, "POST", "/faults", {"freeze_s": 60})
        frozen = asyncio.create_task(_call(port, "GET", "/v1/vms"))
        await asyncio.sleep(0.1)
        stop.set()
        async with asyncio.timeout(5):
            await serving
            with self.assertRaises(ConnectionError):
                await frozen

    @real_time
    async def test_bind_error_and_tcp_nodelay(self) -> None:
        """Guards against a hidden bind error and against slow responses.

        Without TCP_NODELAY a response waits 40 ms for a delayed ACK.
        """
        first = bind_server(_no_app)
        await first.start()
        second = UvicornServer(_no_app, LOOPBACK_HOST, first.port)
        with self.assertRaises(OSError):
            await second.start()
        await second.stop(0)
        _, writer = await _connect(first.port)
        await asyncio.sleep(0.05)
        (connection,) = first._server.server_state.connections
        accepted = connection.transport.get_extra_info("socket")
        option = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        self.assertEqual(1, option)
        writer.close()
        await first.stop(0)
