"""Answers of the placement service that bring no ticket."""

from __future__ import annotations

import asyncio

from result import Err
from result import Ok
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route
from testtools import TestCase

from carawaystep.adapters.http.uvicorn_server import UvicornServer
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.planner.advice_request import AdviceRequest
from carawaystep_platform.advice_client import AdviceClient
from tests.users_platform.deployment import free_port

_REQUEST = AdviceRequest("a" * 16, 0, 1, [WorkerKey("i-1", 7)], 3.0)


async def _ask(status: int, body: str) -> Ok[dict[str, str]] | Err[str]:
    async def advise(request: object) -> Response:
        return Response(body, status)

    port = free_port()
    app = Starlette(routes=[Route("/api/advise", advise, methods=["POST"])])
    server = UvicornServer(app, "127.0.0.1", port)
    await server.start()
    client = AdviceClient(f"127.0.0.1:{port}")
    try:
        return await client.ask(_REQUEST)
    finally:
        await client.close()
        await server.stop(0.0)


class AdviceClientTest(TestCase):
    """One call and what it may bring."""

    def test_tickets_are_read(self) -> None:
        """Guards against tickets that are given to the wrong worker."""
        answer = asyncio.run(_ask(200, '{"allowed":[["i-1","t"]]}'))
        self.assertEqual(Ok({"i-1": "t"}), answer)

    def test_unusable_answers_say_why(self) -> None:
        """Guards against taking a refusal for 'no worker is allowed'."""
        for status, body in (
            (429, ""),
            (503, ""),
            (200, "{"),
            (200, '{"allowed":[["i-1"]]}'),
            (200, '{"allowed":7}'),
        ):
            answer = asyncio.run(_ask(status, body))
            self.assertIsInstance(answer, Err, (status, body))
            self.assertNotEqual("", answer.unwrap_err())

    def test_missing_service_is_an_answer_too(self) -> None:
        """Guards against a call to nowhere for each task."""

        async def ask() -> Ok[dict[str, str]] | Err[str]:
            client = AdviceClient("")
            try:
                return await client.ask(_REQUEST)
            finally:
                await client.close()

        self.assertIsInstance(asyncio.run(ask()), Err)
