"""Tests of the HTTP API of the stand-in platform."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.settings.standin_platform_settings import (
    StandinPlatformSettings,
)
from carawaystep.standin.platform.application import PlatformApplication
from carawaystep.standin.platform.standin_platform import StandinPlatform
from tests.standin.asgi_caller import AsgiResponse
from tests.standin.asgi_caller import call
from tests.standin.event_loops import now
from tests.standin.event_loops import virtual_time

if TYPE_CHECKING:
    from starlette.types import ASGIApp

_VM = {
    "name": "w1",
    "availability_zone": "arima",
    "rack": "r1",
    "url": "http://127.0.0.1:1",
}


def _app(**limits: float) -> ASGIApp:
    settings = StandinPlatformSettings.model_validate(
        {"http": {"host": "127.0.0.1", "port": 1}, "vms": [_VM], **limits}
    )
    return PlatformApplication(StandinPlatform(settings)).create_asgi_app()


def _put(key: str, **changes: Any) -> dict[str, Any]:
    put = {"op": "put", "table": "t", "key": key, "value": 1, "expected": 0}
    return {**put, **changes}


async def _transact(app: ASGIApp, *operations: dict[str, Any]) -> AsgiResponse:
    body = {"id": "x", "operations": list(operations)}
    return await call(app, "POST", "/v1/transactions", body)


class PlatformApplicationTest(TestCase):
    """Wire format, rate limits and faults."""

    @virtual_time
    async def test_malformed_bodies_are_refused(self) -> None:
        """Guards against invalid bodies that write or cause a status 500."""
        app = _app()
        for operation in (
            _put("a", value=None),
            _put("a", value=float("nan")),
            _put("a", expected=-1),
            _put("a", op="move"),
            _put("a", more=1),
            _put(""),
        ):
            answer = await _transact(app, operation)
            self.assertEqual(400, answer.status, operation)
            self.assertEqual("malformed", answer.json()["error"])
        for answer in (
            await _transact(app, _put("a"), _put("a")),
            await _transact(app, *(_put(f"{n}") for n in range(101))),
            await call(app, "POST", "/v1/transactions", b"{"),
            await call(app, "GET", "/v1/tables/t/rows?since=x"),
        ):
            self.assertEqual(400, answer.status)
        rows = await call(app, "GET", "/v1/tables/t/rows?since=0")
        self.assertEqual([], rows.json()["rows"])

    @virtual_time
    async def test_lost_answer_of_a_write(self) -> None:
        """Guards against a write with a lost answer that has no effect.

        Answers to reads must not be lost.
        """
        app = _app()
        await call(app, "POST", "/faults", {"lose_answers": 1})
        row = "/v1/tables/t/rows/a"
        self.assertEqual(404, (await call(app, "GET", row)).status)
        with self.assertRaises(ConnectionError):
            await _transact(app, _put("a"))
        self.assertEqual(200, (await call(app, "GET", row)).status)
        repeated = await _transact(app, _put("a"))
        conflict = {"table": "t", "key": "a", "version": 1}
        self.assertEqual(409, repeated.status)
        self.assertEqual({"conflicts": [conflict]}, repeated.json())

    @virtual_time
    async def test_refused_write_has_no_effect(self) -> None:
        """Guards against writes that take effect in an outage."""
        app = _app()
        await call(app, "POST", "/faults", {"refuse": True})
        self.assertEqual(503, (await _transact(app, _put("a"))).status)
        await call(app, "POST", "/faults", {})
        self.assertEqual(200, (await _transact(app, _put("a"))).status)
        stats = (await call(app, "GET", "/stats")).json()
        expected = {"reads": 0, "writes": 1, "conflicts": 0, "refused": 1}
        self.assertEqual(expected, stats)

    @virtual_time
    async def test_replacing_faults_ends_a_freeze(self) -> None:
        """Guards against calls that stay frozen after faults were replaced."""
        app = _app()
        await call(app, "POST", "/faults", {"freeze_s": 100})
        start = now()
        frozen = asyncio.create_task(_transact(app, _put("a")))
        await asyncio.sleep(5)
        self.assertFalse(frozen.done())
        await call(app, "POST", "/faults", {"delay_s": 2})
        self.assertEqual(200, (await frozen).status)
        self.assertAlmostEqual(start + 6, now(), places=3)

    @virtual_time
    async def test_delayed_write_takes_effect_late(self) -> None:
        """Guards against a delay that postpones only the response.

        A delayed write must take effect late, even if the delay was turned
        off meanwhile.
        """
        app = _app()
        await call(app, "POST", "/faults", {"delay_s": 4})
        late = asyncio.create_task(_transact(app, _put("a")))
        await asyncio.sleep(1.9)
        await call(app, "POST", "/faults", {})
        row = "/v1/tables/t/rows/a"
        self.assertEqual(404, (await call(app, "GET", row)).status)
        await asyncio.sleep(0.2)
        self.assertEqual(200, (await call(app, "GET", row)).status)
        self.assertEqual(200, (await late).status)

    @virtual_time
    async def test_rate_limits(self) -> None:
        """Guards against limits that count checks or admit excess writes."""
        app = _app(writes_per_s=3, reads_per_s=2)
        check = {"op": "check", "table": "t", "key": "z", "expected": 0}
        first = await _transact(app, check, _put("a"), _put("b"))
        second = await _transact(app, _put("c"), _put("d"))
        self.assertEqual([200, 429], [first.status, second.status])
        reads = [await call(app, "GET", "/v1/vms") for _ in range(3)]
        self.assertEqual([200, 200, 429], [a.status for a in reads])
        await asyncio.sleep(1)
        rows = await call(app, "GET", "/v1/tables/t/rows?since=0")
        keys = [row["key"] for row in rows.json()["rows"]]
        self.assertEqual(["a", "b"], keys)

    @virtual_time
    async def test_vm_list_lags(self) -> None:
        """Guards against a VM list that ignores one of its two lags."""
        app = _app(vm_lag_s=2)
        await call(app, "POST", "/faults", {"lag_s": 3})
        await call(app, "POST", "/vms/w1", {"state": "leaving"})
        await asyncio.sleep(4.9)
        for state in ("live", "leaving"):
            listed = (await call(app, "GET", "/v1/vms")).json()
            self.assertEqual([{**_VM, "state": state}], listed["vms"])
            await asyncio.sleep(0.2)
        unknown = await call(app, "POST", "/vms/w2", {"state": "gone"})
        self.assertEqual(404, unknown.status)

    @virtual_time
    async def test_objects_are_stored_unchanged(self) -> None:
        """Guards against checkpoints that are changed by text conversion."""
        app = _app()
        path = "/v1/objects/checkpoints/j1/1/0.5"
        await call(app, "PUT", path, b"\x00\xff\r\n")
        found = await call(app, "GET", path)
        self.assertEqual(b"\x00\xff\r\n", found.body)
        await call(app, "DELETE", path)
        self.assertEqual(404, (await call(app, "GET", path)).status)
