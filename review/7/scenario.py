"""Starts that need a ticket never happen once advice takes over 2.5 s."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys
import time
from typing import Any
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.rig_2.deployment import main  # noqa: E402
from review.rig_2.deployment import manifest  # noqa: E402
from review.rig_2.deployment import route  # noqa: E402
from review.rig_2.http import HttpServer  # noqa: E402
from review.rig_2.worker import Plan  # noqa: E402
from review.rig_2.worker import Worker  # noqa: E402

if TYPE_CHECKING:
    from review.rig_2.deployment import Deployment
    from review.rig_2.http import Request

WORKERS = 24
DECISION_MS = 20
PERIOD_MS = 10
SLOW_PERIOD_MS = 120
VALIDITY_MS = 5000
FINISH_S = 14.0
WATCH_S = 3.0
PREFIX = "/advised/"
KEYS = ("00000000000000f1", "00000000000000f2")
BODY = {
    "spec": "needs a ticket",
    "steps": [
        {"count": 2, "cpu": 1000, "mem_mb": 256, "estimated_ms": 300}
    ],
}


class Advice:
    """The service at `recommendation`: one call at a time for each caller.

    It allows every worker, and takes the time that the manifest states.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Create a service that is as fast as the first manifest says."""
        self.server = HttpServer(self.handle)
        self.period_ms = PERIOD_MS
        self.tickets: dict[tuple[str, str, str], float] = {}
        self._record = deployment.record
        self._turn = asyncio.Lock()
        self._waiting = 0

    async def handle(self, request: Request) -> tuple[int, Any]:
        """Answer one call."""
        if self._waiting >= 32:
            return 429, None
        body = request.json()
        step, workers = body["step"], body["workers"]
        self._waiting += 1
        try:
            async with self._turn:
                await asyncio.sleep(
                    (DECISION_MS + self.period_ms * len(workers)) / 1000
                )
        finally:
            self._waiting -= 1
        now = time.monotonic()
        rows = []
        for worker in workers:
            ticket = f"{worker}/{step}/{now}"
            self.tickets[worker, step, ticket] = now + VALIDITY_MS / 1000
            rows.append([worker, ticket])
        self._record(f"advice for {step} on {len(workers)} workers answered")
        return 200, {"allowed": rows}


async def scenario(deployment: Deployment, trouble: bool) -> list[str]:
    """Raise the period of the advice by a manifest, then submit."""
    advice = Advice(deployment)
    await advice.server.start()
    deployment.advice_address = advice.server.address
    for number in range(WORKERS):
        deployment.workers.append(
            Worker(
                f"i-{number:02}",
                "desk",
                ["a", f"r{number // 8}"],
                "zone",
                deployment.store,
                lambda worker, task, run: Plan(0.3),
                deployment.record,
                cpu=32000,
                mem_mb=128000,
            )
        )
    await deployment.start(3, _manifest(3, PERIOD_MS))
    await asyncio.sleep(4.0)
    if not await deployment.submit(KEYS[0], BODY, prefix=PREFIX):
        raise RuntimeError("the first submission was not accepted")
    await asyncio.sleep(3.0)
    if await deployment.state(KEYS[0], PREFIX) != "completed":
        raise RuntimeError("the first submission did not end")
    if trouble:
        advice.period_ms = SLOW_PERIOD_MS
    await deployment.store.put(
        "op", "config", _manifest(9, advice.period_ms)
    )
    deployment.record(f"a manifest with period_ms {advice.period_ms}")
    await asyncio.sleep(3.0)
    if not await deployment.submit(KEYS[1], BODY, prefix=PREFIX):
        raise RuntimeError("the submission was not accepted")
    await asyncio.sleep(FINISH_S + WATCH_S)
    state = await deployment.state(KEYS[1], PREFIX)
    started = any(
        task.startswith(KEYS[1])
        for worker in deployment.workers
        for _, task, _ in worker.starts
    )
    await advice.server.stop()
    if state == "completed" or started:
        return []
    return [
        f"LOST: {KEYS[1]} was accepted, is shown as {state!r} and has had"
        f" nothing running for {FINISH_S + WATCH_S:g} s with all workers idle"
    ]


def _manifest(version: int, period_ms: int) -> dict[str, Any]:
    advised = route(
        name="r-2",
        path_prefix=PREFIX,
        recommendation={
            "decision_ms": DECISION_MS,
            "period_ms": period_ms,
            "validity_ms": VALIDITY_MS,
        },
    )
    return {**manifest(route(), advised), "version": version}


if __name__ == "__main__":
    main(str(Path(__file__).resolve().parent), scenario)
