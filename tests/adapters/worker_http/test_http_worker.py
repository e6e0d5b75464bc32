"""Tests of the worker client against a misbehaving worker."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from testtools import TestCase

from carawaystep.adapters.worker_http.http_worker import HttpWorker
from carawaystep.settings.entry_settings import WorkerSettings
from carawaystep.worker.resources import Resources
from carawaystep.worker.worker_failure import WorkerOutcomeUnknown
from carawaystep.worker.worker_failure import WorkerRefused
from carawaystep.worker.worker_request import WorkerRequest
from carawaystep.worker.worker_task import WorkerTask
from tests.adapters.http_client.scripted_server import answer
from tests.adapters.http_client.scripted_server import CLOSE
from tests.adapters.http_client.scripted_server import ScriptedServer
from tests.adapters.http_client.scripted_server import Step

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from result import Result

    from carawaystep.worker.worker_failure import WorkerFailure

_SETTINGS = WorkerSettings(timeout_s=0.3)
_NEEDS = Resources(0.5, 256, 1)
_REQUEST = WorkerRequest("own-7", "charges", "key", _NEEDS, b"charge 5")
_FENCE: dict[str, Any] = {
    "epoch": 3,
    "guards": True,
    "leaving": False,
    "capacity": {
        "cpu": 32,
        "memory_mb": 125000,
        "accelerators": 0,
        "slots": 8,
        "connections": 7,
    },
    "running": [
        {
            "id": "old-1",
            "kind": "request",
            "attempt": 0,
            "cpu": 0.5,
            "memory_mb": 256,
            "accelerators": 0,
        }
    ],
    "sequence": 12,
    "clock_s": 5.0,
}
_REPORT: dict[str, Any] = {
    "sequence": 13,
    "clock_s": 6.0,
    "leaving": True,
    "running": ["old-1"],
    "ended": [
        {
            "sequence": 13,
            "id": "j1",
            "attempt": 2,
            "how": "evicted",
            "checkpoint": "c/j1",
            "detail": "",
        }
    ],
    "usage": [{"id": "old-1"}],
}


def _json(value: object, status: int = 200, **headers: str) -> bytes:
    return answer(json.dumps(value).encode(), status, **headers)


def _run_request(worker: HttpWorker) -> Awaitable[Any]:
    return worker.run_request(_REQUEST, 3, 0.2)


def _every_call() -> dict[str, Callable[[HttpWorker], Awaitable[Any]]]:
    task = WorkerTask("j1", 1, "routes", _NEEDS, 20.0, 30.0, None)
    return {
        "fence": lambda worker: worker.fence("e1", 3),
        "run_request": _run_request,
        "start_task": lambda worker: worker.start_task(task, 3),
        "renew_leases": lambda worker: worker.renew_leases(
            [("j1", 1)], 30.0, 3
        ),
        "checkpoint_task": lambda worker: worker.checkpoint_task("j1", 1, 3),
        "throttle_task": lambda worker: worker.throttle_task("j1", 1, 3),
        "stop_task": lambda worker: worker.stop_task("j1", 1, 3),
        "report": lambda worker: worker.report(0, 0.1, 0, 7),
    }


class HttpWorkerTest(TestCase):
    """What a caller may conclude from each answer."""

    def _call(
        self,
        call: Callable[[HttpWorker], Awaitable[Any]],
        *scripts: list[Step],
    ) -> tuple[Result[Any, WorkerFailure], int]:
        """Return the result of the last call and the requests sent."""

        async def run() -> tuple[Result[Any, WorkerFailure], int]:
            async with ScriptedServer(*scripts) as server:
                worker = HttpWorker(server.url, _SETTINGS)
                for _ in scripts:
                    result = await call(worker)
                await worker.close()
                return result, len(server.seen)

        return asyncio.run(run())

    def test_each_call_is_sent_once(self) -> None:
        """Guards against a resend after an answer was lost."""
        for name, call in _every_call().items():
            for first in ([answer(b"a")], [CLOSE]):
                result, seen = self._call(call, first, [CLOSE])
                self.assertIsInstance(result, Err, name)
                self.assertIsInstance(
                    result.err_value, WorkerOutcomeUnknown, name
                )
                self.assertEqual(2, seen, name)

    def test_every_doubt_is_unknown(self) -> None:
        """Guards against refused reported for calls that may have run."""
        doubts: dict[str, list[Step]] = {
            "silent": [2.5],
            "truncated": [
                b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{",
                None,
            ],
            "500": [answer(b"", 500)],
            "503 without the header": [answer(b"", 503)],
            "refusal cut": [
                b"HTTP/1.1 503 X\r\nCarawaystep-Not-Run: 1\r\n",
                None,
            ],
            "header with 200": [answer(b"[", Carawaystep_Not_Run="1")],
            "header with 500": [answer(b"", 500, Carawaystep_Not_Run="1")],
            "other value": [answer(b"", 429, Carawaystep_Not_Run="0")],
        }
        for name, call in _every_call().items():
            for doubt, script in doubts.items():
                if doubt == "silent" and name == "report":
                    continue
                if doubt == "header with 200" and "task" in name:
                    continue
                result, seen = self._call(call, script)
                where = f"{name}: {doubt}"
                self.assertIsInstance(result, Err, where)
                self.assertIsInstance(
                    result.err_value, WorkerOutcomeUnknown, where
                )
                self.assertEqual(1, seen, where)

    def test_refusals(self) -> None:
        """Guards against unknown reported for calls that did not run."""
        for name, call in _every_call().items():
            if name in ("fence", "report"):
                continue
            for status in (404, 409, 429, 503):
                script = [answer(b"", status, Carawaystep_Not_Run="1")]
                result, _ = self._call(call, script)
                failure = result.err_value
                self.assertIsInstance(failure, WorkerRefused, name)
                self.assertEqual(status == 409, failure.token_refused)
                self.assertEqual(status == 503, failure.leaving)

    def test_no_connection_is_a_refusal(self) -> None:
        """Guards against unknown results while a worker is down."""

        async def run() -> None:
            async with ScriptedServer() as server:
                pass
            worker = HttpWorker(server.url, _SETTINGS)
            for name, call in _every_call().items():
                result = await call(worker)
                self.assertIsInstance(result.err_value, WorkerRefused, name)
            await worker.close()

        asyncio.run(run())

    def test_answer_of_another_request(self) -> None:
        """Guards against handing a caller another caller's answer."""
        bodies: dict[str, bytes] = {
            "other": answer(b"x", Carawaystep_Request_Id="other-1"),
            "none": answer(b"x"),
            "other refusal": answer(
                b"",
                503,
                Carawaystep_Request_Id="other-1",
                Carawaystep_Not_Run="1",
            ),
            "no length": b"HTTP/1.1 200 OK\r\nCarawaystep-Request-Id: own-7"
            b"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
        }
        for name, data in bodies.items():
            result, _ = self._call(_run_request, [data])
            self.assertIsInstance(result.err_value, WorkerOutcomeUnknown, name)

    def test_late_answer_of_the_last_request(self) -> None:
        """Guards against an answer that arrives after its time limit."""

        async def run() -> None:
            good = answer(b"own", Carawaystep_Request_Id="own-7")
            scripts: list[list[Step]] = [[good], [0.3, good], [good]]
            async with ScriptedServer(*scripts) as server:
                worker = HttpWorker(server.url, _SETTINGS)
                kinds = []
                for _ in scripts:
                    kinds.append(type(await _run_request(worker)))
                    await asyncio.sleep(0.15)
                self.assertEqual([Ok, Err, Ok], kinds)
                self.assertEqual([1, 1, 2], [seen[0] for seen in server.seen])
                await worker.close()

        asyncio.run(run())

    def test_answer_cut_at_every_byte(self) -> None:
        """Guards against a result from a part of an answer."""
        whole = [
            answer(b"paid", Carawaystep_Request_Id="own-7"),
            answer(b"", Carawaystep_Request_Id="own-7"),
            answer(b"", 503, Carawaystep_Not_Run="1"),
        ]

        async def run() -> None:
            cuts = [data[:end] for data in whole for end in range(len(data))]
            scripts: list[list[Step]] = [[cut, CLOSE] for cut in cuts]
            async with ScriptedServer(*scripts) as server:
                worker = HttpWorker(server.url, _SETTINGS)
                for cut in cuts:
                    result = await _run_request(worker)
                    self.assertIsInstance(result, Err, cut)
                    self.assertIsInstance(
                        result.err_value, WorkerOutcomeUnknown, cut
                    )
                self.assertEqual(len(cuts), len(server.seen))
                await worker.close()

        asyncio.run(run())

    def test_request_on_the_wire(self) -> None:
        """Guards against headers that the worker does not read."""

        async def run() -> None:
            good = answer(b"paid", Carawaystep_Request_Id="own-7")
            async with ScriptedServer([good]) as server:
                worker = HttpWorker(server.url, _SETTINGS)
                self.assertEqual(Ok(b"paid"), await _run_request(worker))
                _, head, body = server.seen[0]
                self.assertEqual(b"charge 5", body)
                for line in (
                    b"POST /v1/requests HTTP/1.1",
                    b"Carawaystep-Epoch: 3",
                    b"Carawaystep-Request-Id: own-7",
                    b"Carawaystep-Service: charges",
                    b"Carawaystep-Needs: cpu=0.5;memory_mb=256;accelerators=1",
                    b"Idempotency-Key: key",
                ):
                    self.assertIn(line, head.split(b"\r\n"))
                await worker.close()

        asyncio.run(run())

    def test_fence(self) -> None:
        """Guards against a lost inherited list and a stale owner."""
        fence = _every_call()["fence"]
        result, _ = self._call(fence, [_json(_FENCE)])
        self.assertEqual("old-1", result.ok_value.running[0].id)
        self.assertEqual(7, result.ok_value.capacity.connections)
        result, _ = self._call(fence, [_json({"epoch": 9}, 409)])
        self.assertTrue(result.err_value.token_refused)
        for broken in (
            {**_FENCE, "epoch": 2},
            {**_FENCE, "running": None},
            {**_FENCE, "capacity": {}},
            [],
        ):
            result, _ = self._call(fence, [_json(broken)])
            self.assertIsInstance(result.err_value, WorkerOutcomeUnknown)

    def test_report(self) -> None:
        """Guards against lost ends and malformed reports."""
        report = _every_call()["report"]
        result, _ = self._call(report, [_json(_REPORT)])
        self.assertEqual((13, True), (result.ok_value.sequence, True))
        self.assertEqual("c/j1", result.ok_value.ended[0].checkpoint)
        result, _ = self._call(report, [_json({**_REPORT, "ended": [{}]})])
        self.assertIsInstance(result.err_value, WorkerOutcomeUnknown)

    def test_silent_poll_opens_a_new_connection(self) -> None:
        """Guards against polling on a connection that went silent."""

        async def run() -> None:
            report = _json(_REPORT)
            async with ScriptedServer(
                [report], [2.5, report], [report]
            ) as server:
                worker = HttpWorker(server.url, _SETTINGS)
                loop = asyncio.get_running_loop()
                self.assertIsInstance(await worker.report(0, 0.1, 0, 7), Ok)
                start_s = loop.time()
                result = await worker.report(0, 0.1, 0, 7)
                self.assertIsInstance(result.err_value, WorkerOutcomeUnknown)
                elapsed_s = loop.time() - start_s
                self.assertTrue(2.0 < elapsed_s < 2.4, elapsed_s)
                self.assertIsInstance(await worker.report(0, 0.1, 0, 7), Ok)
                self.assertEqual([1, 1, 2], [seen[0] for seen in server.seen])
                await worker.close()

        asyncio.run(run())

    def test_polls_and_requests_do_not_block_each_other(self) -> None:
        """Guards against requests that wait behind a long poll."""

        async def run() -> None:
            good = answer(b"own", Carawaystep_Request_Id="own-7")
            slow: list[Step] = [0.05, good]
            async with ScriptedServer(
                [_json(_FENCE)], [1.0], *[slow] * 5
            ) as server:
                worker = HttpWorker(server.url, _SETTINGS)
                await worker.fence("e1", 3)
                poll = asyncio.ensure_future(worker.report(0, 0.5, 0, 7))
                await asyncio.sleep(0.05)
                results = await asyncio.gather(
                    *[_run_request(worker) for _ in range(5)]
                )
                self.assertEqual([Ok(b"own")] * 5, results)
                # 7 connections: 3 for requests, 1 poll, 1 control call.
                self.assertEqual(5, server.peak)
                self.assertFalse(poll.done())
                await worker.close()
                result = await asyncio.wait_for(poll, 0.5)
                self.assertIsInstance(result.err_value, WorkerOutcomeUnknown)
                await asyncio.sleep(0.02)
                self.assertEqual(1, len(asyncio.all_tasks()) - server.open)

        asyncio.run(run())
