"""Tests of the HTTP client of workers against a faulty worker."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from testtools import TestCase

from carawaystep.adapters.worker_http.http_worker_client import (
    HttpWorkerClient,
)
from carawaystep.settings.entry_settings import WorkerSettings
from carawaystep.worker.resources import Resources
from carawaystep.worker.worker_failure import WorkerOutcomeUnknown
from carawaystep.worker.worker_failure import WorkerRefused
from carawaystep.worker.worker_request import WorkerRequest
from carawaystep.worker.worker_task import WorkerTask
from tests.adapters.http_client.scripted_server import CLOSE
from tests.adapters.http_client.scripted_server import response
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
    return response(json.dumps(value).encode(), status, **headers)


def _run_request(worker: HttpWorkerClient) -> Awaitable[Any]:
    return worker.run_request(_REQUEST, 3, 0.2)


def _all_calls() -> dict[str, Callable[[HttpWorkerClient], Awaitable[Any]]]:
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


class HttpWorkerClientTest(TestCase):
    """Tests the result or failure for each kind of answer."""

    def _call(
        self,
        call: Callable[[HttpWorkerClient], Awaitable[Any]],
        *scripts: list[Step],
    ) -> tuple[Result[Any, WorkerFailure], int]:
        """Make one call per script.

        :returns: result of the last call, and number of requests that arrived
        """

        async def run() -> tuple[Result[Any, WorkerFailure], int]:
            async with ScriptedServer(*scripts) as server:
                worker = HttpWorkerClient(server.url, _SETTINGS)
                for _ in scripts:
                    result = await call(worker)
                await worker.close()
                return result, len(server.requests)

        return asyncio.run(run())

    def test_each_call_is_sent_once(self) -> None:
        """Guards against a resend after a lost answer."""
        for name, call in _all_calls().items():
            for first in ([response(b"a")], [CLOSE]):
                result, request_count = self._call(call, first, [CLOSE])
                self.assertIsInstance(result, Err, name)
                self.assertIsInstance(
                    result.err_value, WorkerOutcomeUnknown, name
                )
                self.assertEqual(2, request_count, name)

    def test_incomplete_or_undefined_answers_are_unknown(self) -> None:
        """Guards against a refusal reported for a call that may have run."""
        scripts_by_case: dict[str, list[Step]] = {
            "silent": [2.5],
            "truncated": [
                b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{",
                None,
            ],
            "500": [response(b"", 500)],
            "503 without the header": [response(b"", 503)],
            "refusal cut": [
                b"HTTP/1.1 503 X\r\nCarawaystep-Not-Run: 1\r\n",
                None,
            ],
            "header with 200": [response(b"[", Carawaystep_Not_Run="1")],
            "header with 500": [response(b"", 500, Carawaystep_Not_Run="1")],
            "other value": [response(b"", 429, Carawaystep_Not_Run="0")],
        }
        for name, call in _all_calls().items():
            for case, script in scripts_by_case.items():
                if case == "silent" and name == "report":
                    continue
                if case == "header with 200" and "task" in name:
                    continue
                result, request_count = self._call(call, script)
                where = f"{name}: {case}"
                self.assertIsInstance(result, Err, where)
                self.assertIsInstance(
                    result.err_value, WorkerOutcomeUnknown, where
                )
                self.assertEqual(1, request_count, where)

    def test_marked_answers_are_refusals(self) -> None:
        """Guards against an unknown outcome for a call that did not run."""
        for name, call in _all_calls().items():
            if name in ("fence", "report"):
                continue
            for status in (404, 409, 429, 503):
                script = [response(b"", status, Carawaystep_Not_Run="1")]
                result, _ = self._call(call, script)
                failure = result.err_value
                self.assertIsInstance(failure, WorkerRefused, name)
                self.assertEqual(status == 409, failure.token_refused)
                self.assertEqual(status == 503, failure.leaving)

    def test_failed_connect_is_a_refusal(self) -> None:
        """Guards against unknown outcomes while a worker is down."""

        async def run() -> None:
            async with ScriptedServer() as server:
                pass
            worker = HttpWorkerClient(server.url, _SETTINGS)
            for name, call in _all_calls().items():
                result = await call(worker)
                self.assertIsInstance(result.err_value, WorkerRefused, name)
            await worker.close()

        asyncio.run(run())

    def test_answer_with_another_request_id_is_unknown(self) -> None:
        """Guards against returning the answer to another caller's request."""
        bodies: dict[str, bytes] = {
            "other": response(b"x", Carawaystep_Request_Id="other-1"),
            "none": response(b"x"),
            "other refusal": response(
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

    def test_late_response_is_not_used_for_another_request(self) -> None:
        """Guards against a late response that a later request receives.

        The response belongs to an earlier request that timed out.
        """

        async def run() -> None:
            valid_response = response(b"own", Carawaystep_Request_Id="own-7")
            scripts: list[list[Step]] = [
                [valid_response],
                [0.3, valid_response],
                [valid_response],
            ]
            async with ScriptedServer(*scripts) as server:
                worker = HttpWorkerClient(server.url, _SETTINGS)
                result_types = []
                for _ in scripts:
                    result_types.append(type(await _run_request(worker)))
                    await asyncio.sleep(0.15)
                self.assertEqual([Ok, Err, Ok], result_types)
                self.assertEqual(
                    [1, 1, 2], [request[0] for request in server.requests]
                )
                await worker.close()

        asyncio.run(run())

    def test_answer_truncated_at_every_byte(self) -> None:
        """Guards against a result from a truncated answer."""
        complete_answers = [
            response(b"paid", Carawaystep_Request_Id="own-7"),
            response(b"", Carawaystep_Request_Id="own-7"),
            response(b"", 503, Carawaystep_Not_Run="1"),
        ]

        async def run() -> None:
            truncated_answers = [
                data[:end]
                for data in complete_answers
                for end in range(len(data))
            ]
            scripts: list[list[Step]] = [
                [truncated_answer, CLOSE]
                for truncated_answer in truncated_answers
            ]
            async with ScriptedServer(*scripts) as server:
                worker = HttpWorkerClient(server.url, _SETTINGS)
                for truncated_answer in truncated_answers:
                    result = await _run_request(worker)
                    self.assertIsInstance(result, Err, truncated_answer)
                    self.assertIsInstance(
                        result.err_value,
                        WorkerOutcomeUnknown,
                        truncated_answer,
                    )
                self.assertEqual(len(truncated_answers), len(server.requests))
                await worker.close()

        asyncio.run(run())

    def test_request_encoding(self) -> None:
        """Guards against headers that the worker does not read."""

        async def run() -> None:
            valid_response = response(b"paid", Carawaystep_Request_Id="own-7")
            async with ScriptedServer([valid_response]) as server:
                worker = HttpWorkerClient(server.url, _SETTINGS)
                self.assertEqual(Ok(b"paid"), await _run_request(worker))
                _, head, body = server.requests[0]
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
        """Guards against a lost execution or refusal of a fence call.

        Executions that an earlier owner started must be returned, and a
        refused fencing token must be recognized.
        """
        fence = _all_calls()["fence"]
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
        """Guards against lost ends of tasks and malformed reports."""
        report = _all_calls()["report"]
        result, _ = self._call(report, [_json(_REPORT)])
        self.assertEqual(
            (13, True), (result.ok_value.sequence, result.ok_value.leaving)
        )
        self.assertEqual("c/j1", result.ok_value.ended[0].checkpoint)
        result, _ = self._call(report, [_json({**_REPORT, "ended": [{}]})])
        self.assertIsInstance(result.err_value, WorkerOutcomeUnknown)

    def test_silent_poll_opens_a_new_connection(self) -> None:
        """Guards against polling on a connection that no longer responds."""

        async def run() -> None:
            report = _json(_REPORT)
            async with ScriptedServer(
                [report], [2.5, report], [report]
            ) as server:
                worker = HttpWorkerClient(server.url, _SETTINGS)
                loop = asyncio.get_running_loop()
                self.assertIsInstance(await worker.report(0, 0.1, 0, 7), Ok)
                start_s = loop.time()
                result = await worker.report(0, 0.1, 0, 7)
                self.assertIsInstance(result.err_value, WorkerOutcomeUnknown)
                elapsed_s = loop.time() - start_s
                self.assertTrue(2.0 < elapsed_s < 2.4, elapsed_s)
                self.assertIsInstance(await worker.report(0, 0.1, 0, 7), Ok)
                self.assertEqual(
                    [1, 1, 2], [request[0] for request in server.requests]
                )
                await worker.close()

        asyncio.run(run())

    def test_polls_and_requests_do_not_block_each_other(self) -> None:
        """Guards against requests that wait for a report poll."""

        async def run() -> None:
            valid_response = response(b"own", Carawaystep_Request_Id="own-7")
            slow_script: list[Step] = [0.05, valid_response]
            async with ScriptedServer(
                [_json(_FENCE)], [1.0], *[slow_script] * 5
            ) as server:
                worker = HttpWorkerClient(server.url, _SETTINGS)
                await worker.fence("e1", 3)
                poll = asyncio.ensure_future(worker.report(0, 0.5, 0, 7))
                await asyncio.sleep(0.05)
                results = await asyncio.gather(
                    *[_run_request(worker) for _ in range(5)]
                )
                self.assertEqual([Ok(b"own")] * 5, results)
                # The worker's limit of 7 less 4 reserved leaves 3 for
                # requests; the poll and the fence call use one each.
                self.assertEqual(5, server.peak_connections)
                self.assertFalse(poll.done())
                await worker.close()
                result = await asyncio.wait_for(poll, 0.5)
                self.assertIsInstance(result.err_value, WorkerOutcomeUnknown)
                await asyncio.sleep(0.02)
                self.assertEqual(
                    1, len(asyncio.all_tasks()) - server.open_connections
                )

        asyncio.run(run())
