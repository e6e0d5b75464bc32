"""The leader is killed while more than 500 small tasks of a worker end.

A worker lists at most 500 ends in one answer. The new leader takes a run that
neither list of its first report shows for one that never started.
"""

from __future__ import annotations

import asyncio
from collections import Counter
import random

from deployment import Deployment
from deployment import new_id
from deployment import RESTART_DELAY_S
from deployment import run_case
from worker import Worker

# The largest submission of the site twcsa-sched-large has as many: five steps
# of 160 tasks.
STEPS = 5
WIDTH = 160
TASKS = STEPS * WIDTH
TASK_S = (7.0, 8.0)


def run_seconds(task, spec):
    return random.uniform(*TASK_S)


async def scenario(record, trouble):
    deployment = Deployment(record)
    worker = Worker(
        "i-7f3a91c2",
        deployment.store,
        record,
        run_seconds,
        {"cpu": 32000, "mem_mb": 128000, "gpu": 0},
        6.0,
    )
    deployment.workers.append(worker)
    try:
        await deployment.start()
        submission = new_id()
        step = {"count": WIDTH, "cpu": 35, "mem_mb": 100, "estimated_ms": 7500}
        body = {"spec": "nightly", "steps": [step] * STEPS}
        if not await deployment.submit(submission, body):
            return 2
        ended = worker.ends
        if not await deployment.wait(lambda: len(ended) >= 40, 40, "first ends"):
            return 2
        record(f"running: {worker.running_count}, ended: {len(ended)}")
        if trouble:
            leader = deployment.leader()
            leader.kill()
            await asyncio.sleep(RESTART_DELAY_S)
            leader.start()
        most = 0

        def settled():
            nonlocal most
            most = max(most, worker.unacknowledged)
            return (
                len(ended) >= TASKS
                and worker.running_count == 0
                and worker.unacknowledged == 0
            )

        await deployment.wait(settled, 45, "all ends acknowledged")
        await asyncio.sleep(4)
        await deployment.wait(settled, 20, "all ends acknowledged")
        record(f"most unacknowledged ends: {most}")
        record(f"state: {await deployment.state(submission)}")
        return judge(record, worker)
    finally:
        await deployment.stop()


def judge(record, worker):
    """Look for starts after a done end that was taken note of (TWICE)."""
    for at, task, run, _ in worker.starts:
        record(f"start {task} run {run} at {at:.3f}")
    done = {}
    for at, task, run, how, born, number in worker.ends:
        acked_at = worker.acked_at.get((born, number))
        noted = "never" if acked_at is None else f"{acked_at:.3f}"
        record(f"end {number} {task} run {run} {how} at {at:.3f}, ack {noted}")
        if how == "done" and acked_at is not None:
            done.setdefault(task, (at, run))
    again = [
        (at, task, run)
        for at, task, run, _ in worker.starts
        if task in done and run > done[task][1] and at > done[task][0]
    ]
    tasks = Counter(task for _, task, _, _ in worker.starts)
    record(
        f"{len(tasks)} tasks, {len(worker.starts)} starts, {len(again)} starts"
        " after a done end that was taken note of"
    )
    for at, task, run in again[:5]:
        end_at, end_run = done[task]
        record(
            f"TWICE: {task} run {end_run} ended done at {end_at:.3f}, run"
            f" {run} started at {at:.3f}"
        )
    return 1 if again else 0


run_case(".", scenario)
