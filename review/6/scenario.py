"""After a day of work each new leader reads all ended work and is killed."""

from __future__ import annotations

import asyncio
from collections import Counter
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

WORKERS = 4
# Submissions a second on the sheet of the site, for 28 hours.
SUBMISSIONS_PER_S = 2.54 + 2.69 + 0.103
HOURS = 28
MEMORY_MB = 300
FINISH_S = 14.0
WATCH_S = 3.0
# How long the script goes on after the rule is broken, to see whether any
# process recovers.
AFTERWARDS_S = 45.0
FIRST_KEY = "00000000000000d1"
KEY = "00000000000000d2"
BODY = {
    "spec": "short",
    "steps": [
        {"count": 2, "cpu": 1000, "mem_mb": 256, "estimated_ms": 300}
    ],
}
_ROWS_PER_TURN = 1000


async def scenario(deployment: Deployment, trouble: bool) -> list[str]:
    """Kill the leader once with a day of ended submissions in the store."""
    for number in range(WORKERS):
        deployment.workers.append(
            Worker(
                f"i-{number:02}",
                "desk",
                ["a", "r0"],
                "zone",
                deployment.store,
                lambda worker, task, run: Plan(0.3),
                deployment.record,
                cpu=32000,
                mem_mb=128000,
            )
        )
    await deployment.start(3, manifest(route()))
    await asyncio.sleep(3.0)
    if not await deployment.submit(FIRST_KEY, BODY):
        raise RuntimeError("the first submission was not accepted")
    await asyncio.sleep(3.0)
    if await deployment.state(FIRST_KEY) != "completed":
        raise RuntimeError("the first submission did not end")
    await _add_ended_submissions(deployment)
    await asyncio.sleep(2.0)
    kills: Counter[str] = Counter()
    guard = asyncio.create_task(_limit_memory(deployment, kills))
    try:
        if trouble:
            await _kill_leader(deployment)
        return await _watch(deployment, kills)
    finally:
        guard.cancel()


async def _add_ended_submissions(deployment: Deployment) -> None:
    """Add the rows that a day of submissions leaves in the store.

    Each is a copy of the rows that the system has just written for the first
    submission and kept, under another id.
    """
    store = deployment.store
    left = {
        row_id: text
        for row_id, (text, _) in store.rows.items()
        if row_id[2] == FIRST_KEY
    }
    count = int(SUBMISSIONS_PER_S * 3600 * HOURS)
    deployment.record(
        f"an ended submission leaves {sorted(left)} behind; {count} more"
        f" of them are what {HOURS} hours of the sheet's traffic leave"
    )
    for number in range(count):
        key = f"{0x1000000000000000 + number:016x}"
        for (table, part, _), text in left.items():
            store.insert_quietly((table, part, key), text)
        if number % _ROWS_PER_TURN == 0:
            await asyncio.sleep(0.002)


async def _limit_memory(deployment: Deployment, kills: Counter[str]) -> None:
    """Kill processes over their memory limit, as DEPLOY.md says."""
    while True:
        await asyncio.sleep(0.1)
        for node in deployment.nodes:
            process = node.process
            if process is None or process.returncode is not None:
                continue
            used_mb = _resident_mb(process.pid)
            if used_mb > MEMORY_MB:
                kills[node.name] += 1
                deployment.record(
                    f"{node.name} process {process.pid} uses {used_mb} MB:"
                    " killed"
                )
                process.kill()
                await process.wait()


def _resident_mb(pid: int) -> int:
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) // 1024
    return 0


async def _kill_leader(deployment: Deployment) -> None:
    leader = deployment.store.values("control")["leader"]["name"]
    node = next(n for n in deployment.nodes if n.name == leader)
    assert node.process is not None
    deployment.record(f"{leader}, the leader, is killed")
    node.process.kill()


async def _watch(deployment: Deployment, kills: Counter[str]) -> list[str]:
    """Hand a submission in and look whether it ever runs."""
    if not await deployment.submit(KEY, BODY):
        raise RuntimeError("the submission was not accepted")
    accepted_at = time.monotonic()
    await asyncio.sleep(FINISH_S + WATCH_S)
    if _started(deployment) or await deployment.state(KEY) == "completed":
        return []
    while time.monotonic() - accepted_at < FINISH_S + AFTERWARDS_S:
        await asyncio.sleep(1.0)
        if _started(deployment):
            break
    waited = time.monotonic() - accepted_at
    state = await deployment.state(KEY)
    return [
        f"LOST: {KEY} was accepted, is shown as {state!r} and has had nothing"
        f" running for {waited:.0f} s with all workers idle; processes killed"
        f" for their memory: {dict(kills)}"
    ]


def _started(deployment: Deployment) -> bool:
    return any(
        task.startswith(KEY)
        for worker in deployment.workers
        for _, task, _ in worker.starts
    )


if __name__ == "__main__":
    main(str(Path(__file__).resolve().parent), scenario)
