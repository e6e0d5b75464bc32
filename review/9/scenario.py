"""Lasting tasks of a lost zone stay away for 20 s."""

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

ZONES = ("piraeus", "marousi", "glyfada")
NODES = 6
WORKERS = 6
# contact_ms, the 6 s and the 3 s of the rule.
ALLOWED_S = 12.0
WATCHED_S = 35.0
# A worker's entry goes after three intervals of silence.
ENTRY_LASTS_S = 4.5
KEY = "00000000000000a7"
BODY = {
    "spec": "lasts",
    "steps": [
        {
            "count": WORKERS,
            "cpu": 6400,
            "mem_mb": 13000,
            "estimated_ms": 500,
            "long_running": True,
            "anti_affinity": 2,
        }
    ],
}


async def scenario(deployment: Deployment, trouble: bool) -> list[str]:
    """Lose the leader's zone for good, with its machines and workers."""
    for number in range(WORKERS):
        deployment.workers.append(
            Worker(
                f"i-{number:02}",
                "desk",
                ["a", f"r{number}"],
                ZONES[number % len(ZONES)],
                deployment.store,
                lambda worker, task, run: Plan(3600.0, cpu=6400, mem_mb=13000),
                deployment.record,
                cpu=32000,
                mem_mb=128000,
            )
        )
    await deployment.start(NODES, manifest(route()), ZONES)
    await asyncio.sleep(6.0)
    if not await deployment.submit(KEY, BODY):
        raise RuntimeError("the submission was not accepted")
    await asyncio.sleep(5.0)
    zone = deployment.leader().zone
    lost = [w for w in deployment.workers if w.zone == zone]
    tasks = [task for worker in lost for task in worker.running]
    if not tasks:
        raise RuntimeError("no task runs in the leader's zone")
    if not trouble:
        await asyncio.sleep(WATCHED_S)
        return _away(deployment, tasks, time.monotonic() - WATCHED_S)
    deployment.record(f"{zone}, the leader's zone, is lost for good")
    lost_at = time.monotonic()
    for node in deployment.nodes:
        if node.zone == zone:
            deployment.remove(node)
    for worker in lost:
        await worker.stop()
        worker.running.clear()
        deployment.workers.remove(worker)
    await asyncio.sleep(ENTRY_LASTS_S)
    for worker in lost:
        await deployment.store.delete("servers", worker.name)
    await asyncio.sleep(WATCHED_S - ENTRY_LASTS_S)
    await deployment.state(KEY)
    return _away(deployment, tasks, lost_at)


def _away(
    deployment: Deployment, tasks: list[str], lost_at: float
) -> list[str]:
    """Return the tasks that had no run for longer than is allowed."""
    broken = []
    for task in tasks:
        if any(task in worker.running for worker in deployment.workers):
            again = [
                at - lost_at
                for worker in deployment.workers
                for at, started, _ in worker.starts
                if started == task and at > lost_at
            ]
            away_s = min(again, default=0.0)
        else:
            away_s = WATCHED_S
        if away_s > ALLOWED_S:
            free = deployment.workers[0].free()[0]
            broken.append(
                f"LOST: {task} had no run for {away_s:.1f} s, allowed are"
                f" {ALLOWED_S:g} s; a worker has {free} of 32000 thousandths"
                " of cores free"
            )
    return broken


if __name__ == "__main__":
    main(str(Path(__file__).resolve().parent), scenario)
