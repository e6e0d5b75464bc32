"""A task that failed on all workers with its label is never run again."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys
import time
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.rig_2.deployment import main  # noqa: E402
from review.rig_2.deployment import manifest  # noqa: E402
from review.rig_2.deployment import route  # noqa: E402
from review.rig_2.worker import Plan  # noqa: E402
from review.rig_2.worker import Worker  # noqa: E402

if TYPE_CHECKING:
    from review.rig_2.deployment import Deployment

WORKERS = 24
# Two of 24 workers: a share of 0.083 (the pages: at most 0.085).
KIND_B = 2
# The pages: at most 6.5 s.
GREY_S = 6.0
RUN_S = 0.5
FINISH_S = 14.0
WATCH_S = 3.0
KEY = "00000000000000a1"
BODY = {
    "spec": "needs kind b",
    "steps": [
        {
            "count": 1,
            "cpu": 2000,
            "mem_mb": 1024,
            "estimated_ms": 500,
            "constraints": "b",
        }
    ],
}


async def scenario(deployment: Deployment, trouble: bool) -> list[str]:
    """Submit while the workers of kind b fail all that they start."""
    grey_until = 0.0

    def plan(worker: Worker, task: str, run: int) -> Plan:
        grey = "b" in worker.labels and time.monotonic() < grey_until
        return Plan(RUN_S, "failed" if grey else "done", cpu=2000, mem_mb=1024)

    for number in range(WORKERS):
        deployment.workers.append(
            Worker(
                f"i-{number:02}",
                "desk",
                ["b" if number < KIND_B else "a", f"r{number // 8}"],
                "zone",
                deployment.store,
                plan,
                deployment.record,
                cpu=32000,
                mem_mb=128000,
            )
        )
    await deployment.start(3, manifest(route()))
    await asyncio.sleep(4.0)
    if trouble:
        grey_until = time.monotonic() + GREY_S
        deployment.record("workers of kind b fail all that they start")
    accepted = await deployment.submit(KEY, BODY)
    if not accepted:
        raise RuntimeError("the submission was not accepted")
    await asyncio.sleep(GREY_S)
    deployment.record("all workers are sound from here on")
    await asyncio.sleep(FINISH_S)
    began = time.monotonic()
    while time.monotonic() - began < WATCH_S:
        state = await deployment.state(KEY)
        running = sum(len(worker.running) for worker in deployment.workers)
        if state in ("completed", "failed") or running:
            return []
        await asyncio.sleep(0.25)
    failed = sum(
        how == "failed"
        for worker in deployment.workers
        for _, _, _, how in worker.ends
    )
    return [
        f"LOST: {FINISH_S:g} s after the last disruption, {KEY} is shown as"
        f" {state!r}, has had nothing running for {WATCH_S:g} s, and has used"
        f" {failed} of 3 attempts; all {WORKERS} workers are idle"
    ]


if __name__ == "__main__":
    main(str(Path(__file__).resolve().parent), scenario)
