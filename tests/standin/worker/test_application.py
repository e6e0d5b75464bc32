"""Tests of the HTTP API of a stand-in worker."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from hashlib import sha256
from random import Random
from typing import Any
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.settings.standin_worker_settings import StandinServiceSettings
from carawaystep.settings.standin_worker_settings import StandinWorkerSettings
from carawaystep.standin.worker.application import WorkerApplication
from carawaystep.standin.worker.run_time_model import RunTimeModel
from carawaystep.standin.worker.standin_worker import StandinWorker
from tests.standin.asgi_caller import AsgiResponse
from tests.standin.asgi_caller import call
from tests.standin.event_loops import now
from tests.standin.event_loops import virtual_time

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.types import ASGIApp

_HEADERS = {
    "Carawaystep-Epoch": "3",
    "Carawaystep-Request-Id": "e1-7",
    "Carawaystep-Service": "bookings",
    "Carawaystep-Needs": "cpu=0.5;memory_mb=256; accelerators=0",
    "Idempotency-Key": "k1",
}
_TASK = {
    "id": "j1",
    "attempt": 1,
    "epoch": 3,
    "service": "recheck",
    "lease_until_s": 30,
    "run_s": 20,
    "needs": {"cpu": 1.0, "memory_mb": 100},
    "checkpoint": None,
}


@asynccontextmanager
async def _app(**settings: Any) -> AsyncIterator[ASGIApp]:
    listen = {"host": "127.0.0.1", "port": 1}
    services = {"failing": StandinServiceSettings(fail_share=1.0)}
    application = WorkerApplication(
        StandinWorker(
            StandinWorkerSettings.model_validate(
                {"name": "w1", "http": listen, **settings}
            ),
            RunTimeModel(services, Random(7)),
        )
    )
    timer = asyncio.create_task(application.run_task_timer())
    app = application.create_asgi_app()
    await call(app, "POST", "/v1/fence", {"owner": "e1", "epoch": 3})
    yield app
    timer.cancel()


def _poll(app: ASGIApp) -> asyncio.Task[AsgiResponse]:
    path = "/v1/report?since=0&wait_s=60"
    return asyncio.create_task(call(app, "GET", path))


class WorkerApplicationTest(TestCase):
    """Wire format, long polls and faults."""

    @virtual_time
    async def test_answer_belongs_to_its_request(self) -> None:
        """Guards against answers that are mixed up or truncated."""
        async with _app(slots=50) as app:
            bodies = [b"\x00" * size for size in range(50)]
            names = [{"Carawaystep-Request-Id": f"r{n}"} for n in range(50)]
            answers = await asyncio.gather(
                *(
                    call(app, "POST", "/v1/requests", body, _HEADERS | name)
                    for body, name in zip(bodies, names, strict=True)
                )
            )
        for size, answer in enumerate(answers):
            expected = {
                "request_id": f"r{size}",
                "service": "bookings",
                "worker": "w1",
                "length": size,
                "sha256": sha256(bodies[size]).hexdigest(),
            }
            self.assertEqual(expected, answer.json())
            headers = answer.headers
            self.assertEqual(f"r{size}", headers["carawaystep-request-id"])
            self.assertEqual(f"{len(answer.body)}", headers["content-length"])

    @virtual_time
    async def test_failure_is_not_reported_as_not_run(self) -> None:
        """Guards against a retry of a request that did run."""
        async with _app() as app:
            headers = {**_HEADERS, "Carawaystep-Service": "failing"}
            failed = await call(app, "POST", "/v1/requests", b"", headers)
            self.assertEqual(500, failed.status)
            self.assertNotIn("carawaystep-not-run", failed.headers)
            ledger = (await call(app, "GET", "/ledger")).json()
        (execution,) = ledger["executions"]
        self.assertEqual("failed", execution["how"])
        self.assertEqual("k1", execution["key"])
        self.assertEqual([0.5, 32.0], ledger["peaks"]["cpu"])

    @virtual_time
    async def test_refusals_report_that_nothing_ran(self) -> None:
        """Guards against refusals after which the outcome is unknown."""
        async with _app(slots=1) as app:
            await call(app, "POST", "/v1/tasks", _TASK)
            stale = {**_HEADERS, "Carawaystep-Epoch": "2"}
            second = {**_TASK, "id": "j2"}
            refused = [await call(app, "POST", "/v1/requests", b"", stale)]
            self.assertEqual({"epoch": 3}, refused[0].json())
            for path, body in (
                ("/ledger", None),
                ("/v1/leave", None),
                ("/faults", {"refuse": True}),
            ):
                await call(app, "POST", path, body)
                refused += [
                    await call(app, "POST", "/v1/requests", b"", _HEADERS),
                    await call(app, "POST", "/v1/tasks", second),
                ]
            ledger = (await call(app, "GET", "/ledger")).json()
        statuses = [answer.status for answer in refused]
        self.assertEqual([409, 429, 429, 503, 503, 503, 503], statuses)
        for answer in refused:
            self.assertEqual("1", answer.headers["carawaystep-not-run"])
        self.assertEqual(1, len(ledger["executions"]))

    @virtual_time
    async def test_malformed_calls_are_refused(self) -> None:
        """Guards against invalid calls that run or cause a status 500."""
        async with _app() as app:
            for change in (
                {"needs": {"cpu": -1}},
                {"lease_until_s": -1},
                {"checkpoint": "checkpoints/j1/1/half"},
                {"id": "a/b"},
                {"attempt": "1st"},
                {"other": 1},
            ):
                body = {**_TASK, **change}
                answer = await call(app, "POST", "/v1/tasks", body)
                self.assertEqual(400, answer.status, change)
            needs = {**_HEADERS, "Carawaystep-Needs": "cpu=many"}
            for headers in (needs, {}):
                bad = await call(app, "POST", "/v1/requests", b"", headers)
                self.assertEqual(400, bad.status)
            poll = await call(app, "GET", "/v1/report?since=0&wait_s=-1")
            self.assertEqual(400, poll.status)
            ledger = (await call(app, "GET", "/ledger")).json()
            self.assertEqual([], ledger["executions"])

    @virtual_time
    async def test_poll_answers_at_the_end_of_a_task(self) -> None:
        """Guards against ends that are reported only when a poll times out."""
        async with _app() as app:
            start = now()
            await call(app, "POST", "/v1/tasks", _TASK)
            report = await call(app, "GET", "/v1/report?since=0&wait_s=60")
            self.assertAlmostEqual(start + 20, now(), 3)
            self.assertEqual("done", report.json()["ended"][0]["how"])
            idle = await call(app, "GET", "/v1/report?since=1&wait_s=5")
            self.assertAlmostEqual(start + 25, now(), 3)
            self.assertEqual(1, idle.json()["sequence"])

    @virtual_time
    async def test_poll_answers_when_another_call_ends_the_task(self) -> None:
        """Guards against a poll that keeps waiting after the end of a task.

        Another call may end the task just before the timer does; the timer
        must then still notify the poll.
        """
        async with _app() as app:
            due = now() + 20
            await call(app, "POST", "/v1/tasks", _TASK)
            body = {"owner": "e1", "epoch": 3}
            fence = call(app, "POST", "/v1/fence", body)
            loop = asyncio.get_running_loop()
            loop.call_at(due, lambda: loop.create_task(fence))
            await _poll(app)
            self.assertAlmostEqual(due, now(), 3)

    @virtual_time
    async def test_poll_answers_when_the_worker_leaves(self) -> None:
        """Guards against a leaving worker that is not reported at once.

        Its owner would send it new work until the poll times out. The worker
        leaves after 1 s, and reports lag by 2 s, so the poll ends after 3 s.
        """
        async with _app() as app:
            start = now()
            await call(app, "POST", "/faults", {"lag_s": 2})
            poll = _poll(app)
            await asyncio.sleep(1)
            await call(app, "POST", "/v1/leave")
            self.assertTrue((await poll).json()["leaving"])
            self.assertAlmostEqual(start + 3, now(), 3)

    @virtual_time
    async def test_calls_with_lost_answers_take_effect(self) -> None:
        """Guards against lost answers to calls that had no effect."""
        async with _app() as app:
            await call(app, "POST", "/faults", {"lose_answers": -1})
            fence = {"owner": "e2", "epoch": 9}
            for path, body in (
                ("/v1/tasks", _TASK),
                ("/v1/tasks/j1/checkpoint", {"epoch": 3, "attempt": 1}),
                ("/v1/fence", fence),
            ):
                with self.assertRaises(ConnectionError):
                    await call(app, "POST", path, body)
            await call(app, "POST", "/faults", {})
            fenced = await call(app, "POST", "/v1/fence", fence)
            self.assertEqual(1, fenced.json()["sequence"])
            stale = await call(app, "POST", "/v1/tasks", _TASK)
            self.assertEqual({"epoch": 9}, stale.json())

    @virtual_time
    async def test_frozen_worker_keeps_running_without_answering(self) -> None:
        """Guards against a frozen worker that answers or stops its clock."""
        async with _app() as app:
            await call(app, "POST", "/v1/tasks", {**_TASK, "lease_until_s": 5})
            start = now()
            poll = _poll(app)
            await asyncio.sleep(1)
            await call(app, "POST", "/faults", {"freeze_s": 40})
            report = (await poll).json()
            self.assertAlmostEqual(start + 41, now(), 3)
            self.assertEqual("lapsed", report["ended"][0]["how"])
            ledger = (await call(app, "GET", "/ledger")).json()
            end = ledger["executions"][0]["end"]
            self.assertAlmostEqual(start + 5, end, 3)
