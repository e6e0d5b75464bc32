"""Tests of the platform's HTTP clients against a faulty platform."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from testtools import TestCase

from carawaystep.adapters.platform_http.object_store import HttpObjectStore
from carawaystep.adapters.platform_http.table_service import HttpTableService
from carawaystep.adapters.platform_http.vm_directory import HttpVmDirectory
from carawaystep.fleet.vm import Vm
from carawaystep.fleet.vm_state import VmState
from carawaystep.settings.entry_settings import PlatformSettings
from carawaystep.store.operation import CheckRow
from carawaystep.store.operation import DeleteRow
from carawaystep.store.operation import PutRow
from carawaystep.store.row import Row
from carawaystep.store.table_commit import TableCommit
from carawaystep.store.table_failure import TableConflict
from carawaystep.store.table_failure import TableOutcomeUnknown
from carawaystep.store.table_failure import TableRefused
from tests.adapters.http_client.scripted_server import CLOSE
from tests.adapters.http_client.scripted_server import response
from tests.adapters.http_client.scripted_server import ScriptedServer
from tests.adapters.http_client.scripted_server import Step

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from result import Result

    from carawaystep.store.table_failure import TableFailure

_OPERATIONS = (
    CheckRow("owners", "w1", 4),
    PutRow("jobs", "a/b?c", None, {"state": "assigned"}),
    DeleteRow("jobs", "d", 0),
)


def _json(value: object, status: int = 200) -> bytes:
    return response(json.dumps(value).encode(), status)


async def _transact(settings: PlatformSettings) -> Any:
    tables = HttpTableService(settings)
    result = await tables.transact(_OPERATIONS)
    await tables.close()
    return result


async def _get(settings: PlatformSettings) -> Any:
    tables = HttpTableService(settings)
    result = await tables.get("jobs", "a/b?c")
    await tables.close()
    return result


async def _changes(settings: PlatformSettings) -> Any:
    tables = HttpTableService(settings)
    result = await tables.changes("jobs", 5, ("0a", "f&"))
    await tables.close()
    return result


async def _vms(settings: PlatformSettings) -> Any:
    directory = HttpVmDirectory(settings)
    result = await directory.vms()
    await directory.close()
    return result


async def _put_object(settings: PlatformSettings) -> Any:
    store = HttpObjectStore(settings)
    result = await store.put("c/j 1", b"\0state")
    await store.close()
    return result


async def _get_object(settings: PlatformSettings) -> Any:
    store = HttpObjectStore(settings)
    result = await store.get("c/j 1")
    await store.close()
    return result


_JSON_CALLS = (_transact, _get, _changes, _vms)
_CALLS = (*_JSON_CALLS, _put_object, _get_object)

# A call that is delayed for longer than this before it is sent is a refusal.
_TIMEOUT_S = 1.0


class PlatformHttpTest(TestCase):
    """Tests the result or failure for each kind of answer."""

    def _call(
        self, call: Callable[[PlatformSettings], Awaitable[Any]], *script: Step
    ) -> tuple[Result[Any, TableFailure], list[tuple[int, bytes, bytes]]]:
        async def run() -> Any:
            async with ScriptedServer(list(script)) as server:
                settings = PlatformSettings(
                    url=server.url, timeout_s=_TIMEOUT_S
                )
                return await call(settings), server.requests

        return asyncio.run(run())

    def _assert_failure(
        self, failure_type: type[TableFailure], call: Any, *step: Step
    ) -> None:
        result, requests = self._call(call, *step)
        self.assertIsInstance(result, Err, (call, step))
        self.assertIs(failure_type, type(result.err_value), (call, step))
        self.assertEqual(1, len(requests), (call, step))

    def test_refusal_statuses(self) -> None:
        """Guards against an unknown outcome when nothing was written."""
        for call in _CALLS:
            for status in (429, 503):
                self._assert_failure(TableRefused, call, response(b"", status))

    def test_incomplete_or_undefined_answers_are_unknown(self) -> None:
        """Guards against a refusal reported after a write took effect."""
        truncated = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"
        for call in _CALLS:
            self._assert_failure(TableOutcomeUnknown, call, CLOSE)
            self._assert_failure(TableOutcomeUnknown, call, truncated, CLOSE)
            self._assert_failure(TableOutcomeUnknown, call, 1.5 * _TIMEOUT_S)
            self._assert_failure(
                TableOutcomeUnknown, call, response(b"{}", 500)
            )
            self._assert_failure(
                TableOutcomeUnknown, call, response(b"{}", 302)
            )

    def test_malformed_json_is_unknown(self) -> None:
        """Guards against results from a body that violates the protocol."""
        bodies = (b"", b"{", b"[]", b'{"revision": "x"}', b"\xff")
        for call in _JSON_CALLS:
            for body in bodies:
                self._assert_failure(TableOutcomeUnknown, call, response(body))
        self._assert_failure(
            TableOutcomeUnknown, _transact, response(b"{}", 409)
        )
        too_few_versions = {"revision": 1, "versions": [1]}
        self._assert_failure(
            TableOutcomeUnknown, _transact, _json(too_few_versions)
        )

    def test_failed_connect_is_a_refusal(self) -> None:
        """Guards against unknown outcomes while the platform is down.

        The caller would read its writes back although nothing was sent.
        """

        async def run() -> None:
            async with ScriptedServer() as server:
                pass
            settings = PlatformSettings(url=server.url, timeout_s=0.2)
            for call in _CALLS:
                result = await call(settings)
                self.assertIs(TableRefused, type(result.err_value))

        asyncio.run(run())

    def test_transaction(self) -> None:
        """Guards against wrong encoding and reused transaction ids."""
        commit = _json({"revision": 9, "versions": [4, 1, 2]})
        ids = set()
        for _ in range(2):
            result, requests = self._call(_transact, commit)
            self.assertEqual(Ok(TableCommit(9, (4, 1, 2))), result)
            sent = json.loads(requests[0][2])
            ids.add(sent["id"])
        self.assertEqual(2, len(ids))
        put = {
            "op": "put",
            "table": "jobs",
            "key": "a/b?c",
            "expected": None,
            "value": {"state": "assigned"},
        }
        check, sent_put, delete = sent["operations"]
        self.assertEqual(put, sent_put)
        self.assertEqual(("check", 4), (check["op"], check["expected"]))
        self.assertEqual(("delete", 0), (delete["op"], delete["expected"]))

    def test_conflict(self) -> None:
        """Guards against a lost race that the caller does not detect."""
        conflict = {"table": "owners", "key": "w1", "version": 6}
        result, _ = self._call(
            _transact, _json({"conflicts": [conflict]}, 409)
        )
        self.assertIsInstance(result.err_value, TableConflict)
        self.assertEqual({("owners", "w1"): 6}, result.err_value.versions)

    def test_reads(self) -> None:
        """Guards against keys without percent-encoding and lost deletions."""
        row = {"value": [1], "version": 2, "revision": 3}
        result, requests = self._call(_get, _json(row))
        self.assertEqual(Ok(Row("a/b?c", [1], 2, 3)), result)
        self.assertIn(b"GET /v1/tables/jobs/rows/a%2Fb%3Fc ", requests[0][1])
        result, _ = self._call(_get, response(b"", 404))
        self.assertEqual(Ok(None), result)
        deleted = {"key": "0a1", "value": None, "version": 2, "revision": 8}
        page = {"rows": [deleted], "revision": 8, "more": True}
        result, requests = self._call(_changes, _json(page))
        self.assertEqual((Row("0a1", None, 2, 8),), result.ok_value.rows)
        self.assertTrue(result.ok_value.more)
        query = b"/rows?since=5&prefix=0a&prefix=f%26 "
        self.assertIn(query, requests[0][1])

    def test_objects_and_vms(self) -> None:
        """Guards against altered objects and undefined VM states."""
        result, requests = self._call(_put_object, response(b"", 201))
        self.assertEqual(Ok(None), result)
        self.assertEqual(b"\0state", requests[0][2])
        self.assertIn(b"PUT /v1/objects/c/j%201 ", requests[0][1])
        result, _ = self._call(_get_object, response(b"\0state"))
        self.assertEqual(Ok(b"\0state"), result)
        result, _ = self._call(_get_object, response(b"", 404))
        self.assertEqual(Ok(None), result)
        vm = {
            "name": "w1",
            "availability_zone": "arima",
            "rack": "r1",
            "url": "http://127.0.0.1:1",
            "state": "leaving",
        }
        result, _ = self._call(_vms, _json({"vms": [vm]}))
        expected = Vm(
            "w1", "arima", "r1", "http://127.0.0.1:1", VmState.LEAVING
        )
        self.assertEqual(Ok((expected,)), result)
        undefined_state = {"vms": [{**vm, "state": "lost"}]}
        self._assert_failure(TableOutcomeUnknown, _vms, _json(undefined_state))
