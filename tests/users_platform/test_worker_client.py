"""Tests of the client of one worker."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route
from testtools import TestCase

from carawaystep.adapters.http.uvicorn_server import UvicornServer
from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.fleet.worker_report import WorkerReport
from carawaystep.workflow.task_ref import TaskRef
from carawaystep_platform.worker_client import WorkerClient
from tests.adapters.http.bound_server import bind_server
from tests.users_platform.worker_standin import WorkerStandin
from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from result import Result

    from carawaystep.fleet.link_failure import LinkFailure

_KEY = WorkerKey("i-1", 7)
_TASK = "5c0e7a21d94b36f8.0.0.0"


async def _fetch_report(body: str) -> Result[WorkerReport, LinkFailure]:
    async def hold(request: object) -> Response:
        return Response(body)

    app = Starlette(routes=[Route("/api/hold", hold, methods=["POST"])])
    server = bind_server(app)
    await server.start()
    client = WorkerClient(_KEY, f"{LOOPBACK_HOST}:{server.port}", 6.0)
    try:
        return await client.fetch_report(1, 0, False, 0.0)
    finally:
        await client.close()
        await server.stop(0.0)


async def _start_after_restart(standin: WorkerStandin) -> OrderOutcome:
    """Send a start to a worker that has restarted since its last report."""
    server = bind_server(standin.app())
    await server.start()
    client = WorkerClient(_KEY, f"{LOOPBACK_HOST}:{server.port}", 6.0)
    try:
        await client.fetch_report(1, 0, False, 0.0)
        await server.stop(0.0)
        standin.restart()
        server = UvicornServer(standin.app(), LOOPBACK_HOST, server.port)
        server.bind()
        await server.start()
        order = StartOrder(_KEY, TaskRef("5c0e7a21d94b36f8", 0, 0, 0), 1, "")
        return await client.execute_order(order, 1)
    finally:
        await client.close()
        await server.stop(0.0)


class WorkerClientTest(TestCase):
    """Reports of a worker."""

    def test_malformed_reports_return_an_error(self) -> None:
        """Guards against one report that ends the calls to its worker."""
        for rows in (
            f'"running":[["{_TASK}",1,""]],"finished":[]',
            f'"running":[],"finished":[[1,"{_TASK}",1,"done"]]',
            f'"running":[],"finished":[[1,"{_TASK}",1,"odd",""]]',
            '"running":[["x",1,"",0]],"finished":[]',
        ):
            body = f'{{"clock_ms":1,"born":7,{rows}}}'
            report = asyncio.run(_fetch_report(body))
            self.assertIsInstance(report, Err, rows)

    def test_report_names_the_lifetime_that_sent_it(self) -> None:
        """Guards against taking a restarted worker for the earlier one."""
        body = '{"clock_ms":1,"born":8,"running":[],"finished":[]}'
        report = asyncio.run(_fetch_report(body))
        self.assertEqual(Ok(WorkerReport(WorkerKey("i-1", 8), [], [])), report)

    def test_full_list_of_ends_is_reported_as_truncated(self) -> None:
        """Guards against taking 500 listed ends for all ends."""
        for count, truncated in ((499, False), (500, True)):
            ends = [[n, _TASK, 1, "done", ""] for n in range(1, count + 1)]
            body = {"clock_ms": 1, "born": 7, "finished": ends}
            report = asyncio.run(_fetch_report(json.dumps(body)))
            self.assertEqual(truncated, report.unwrap().ends_truncated, count)

    def test_start_for_a_crashed_lifetime_reaches_no_later_one(self) -> None:
        """Guards against a lease with a deadline of another clock.

        The worker crashed and was back under its id. A start on a new
        connection reached the later lifetime, which knew no fencing token,
        so that the run outlasted the leader's wait for its end.
        """
        standin = WorkerStandin("i-1", run_s=10.0)
        outcome = asyncio.run(_start_after_restart(standin))
        self.assertEqual([], standin.started)
        self.assertLess(standin.lease_ends_at, time.monotonic())
        self.assertEqual(OrderOutcome.OTHER_LIFETIME, outcome)
