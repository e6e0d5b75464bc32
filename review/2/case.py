"""One large submission whose progress outgrows a row of the store.

The leader repeats the refused transaction for ever and stores nothing else.
"""

from __future__ import annotations

import asyncio
import random

from deployment import Deployment
from deployment import new_id
from deployment import run_case
from worker import Worker

# The largest submission of the site twcsa-sched-large has as many: five steps
# of 160 tasks. Without the disruption the steps are half as wide.
STEPS = 5
WIDTH = 160
# Worker ids are as long as a UUID.
WORKER_IDS = (
    "3b6f4c1e-0d52-4c7a-9f0e-5a1d2c8e7b10",
    "c8d1a7f2-6e34-4b9d-8a25-90f3be6d4c21",
    "7e05d9b4-1f68-4a3c-b7d6-28c4fa90e532",
)


def run_seconds(task, spec):
    if spec == "nightly":
        return 8.0 + 6.0 * random.random()
    return 0.5


async def scenario(record, trouble):
    deployment = Deployment(record)
    for name in WORKER_IDS:
        deployment.workers.append(
            Worker(
                name,
                deployment.store,
                record,
                run_seconds,
                {"cpu": 32000, "mem_mb": 128000, "gpu": 0},
                6.0,
            )
        )
    try:
        await deployment.start()
        large = new_id()
        step = {
            "count": WIDTH if trouble else WIDTH // 2,
            "cpu": 40,
            "mem_mb": 100,
            "estimated_ms": 11000,
            "checkpointing": True,
        }
        body = {"spec": "nightly", "steps": [step] * STEPS}
        if not await deployment.submit(large, body):
            return 2
        await asyncio.sleep(14)
        record(f"running: {[w.running_count for w in deployment.workers]}")
        small = []
        for _ in range(6):
            submission = new_id()
            step = {"count": 2, "cpu": 500, "mem_mb": 100, "estimated_ms": 500}
            if await deployment.submit(submission, {"spec": "desk", "steps": [step]}):
                small.append(submission)
            await asyncio.sleep(1)
        # finish_s is 14; we wait more than twice as long.
        await asyncio.sleep(30)
        started = {t.split(".")[0] for w in deployment.workers for _, t, _, _ in w.starts}
        broken = 0
        for submission in [*small, large]:
            state = await deployment.state(submission)
            record(f"{submission}: state {state}, started {submission in started}")
            if state != "completed":
                broken += 1
        record(f"rows that the store refused: {deployment.store.refused_rows}")
        record(f"accepted and not completed: {broken} of {len(small) + 1}")
        for node in deployment.nodes:
            lines = [x for x in node.log_lines() if "commit.failed" in x]
            record(f"{node.name}: {len(lines)} lines commit.failed {lines[:1]}")
        return 1 if broken else 0
    finally:
        await deployment.stop()


run_case(".", scenario)
