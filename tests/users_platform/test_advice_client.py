"""Tests of the client of the placement service."""

from __future__ import annotations

import asyncio

from result import Err
from result import Ok
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route
from testtools import TestCase

from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.planner.advice_request import AdviceRequest
from carawaystep_platform.advice_client import AdviceClient
from tests.adapters.http.bound_server import bind_server
from tools.port_allocator import LOOPBACK_HOST

_REQUEST = AdviceRequest("a" * 16, 0, 1, [WorkerKey("i-1", 7)], 3.0)


async def _request_advice(
    status: int, body: str
) -> Ok[dict[str, str]] | Err[str]:
    async def advise(request: object) -> Response:
        return Response(body, status)

    app = Starlette(routes=[Route("/api/advise", advise, methods=["POST"])])
    server = bind_server(app)
    await server.start()
    client = AdviceClient(f"{LOOPBACK_HOST}:{server.port}")
    try:
        return await client.ask(_REQUEST)
    finally:
        await client.close()
        await server.stop(0.0)


class AdviceClientTest(TestCase):
    """Results of one call."""

    def test_tickets_are_decoded_by_worker(self) -> None:
        """Guards against a ticket that is assigned to the wrong worker."""
        answer = asyncio.run(_request_advice(200, '{"allowed":[["i-1","t"]]}'))
        self.assertEqual(Ok({"i-1": "t"}), answer)

    def test_unusable_answers_return_an_error(self) -> None:
        """Guards against reading an error as 'no worker is allowed'."""
        for status, body in (
            (429, ""),
            (503, ""),
            (200, "{"),
            (200, '{"allowed":[["i-1"]]}'),
            (200, '{"allowed":7}'),
        ):
            answer = asyncio.run(_request_advice(status, body))
            self.assertIsInstance(answer, Err, (status, body))
            self.assertNotEqual("", answer.unwrap_err())

    def test_missing_service_returns_an_error(self) -> None:
        """Guards against connecting to an empty address for each task."""

        async def ask() -> Ok[dict[str, str]] | Err[str]:
            client = AdviceClient("")
            try:
                return await client.ask(_REQUEST)
            finally:
                await client.close()

        self.assertIsInstance(asyncio.run(ask()), Err)
