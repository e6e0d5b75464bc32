"""A worker is lost for good, and then the machine of the leader.

The lasting tasks of the worker then wait until the lost leader's right to lead
would have ended, in the worst case, and the leases after it.
"""

from __future__ import annotations

import asyncio
import time

from deployment import Deployment
from deployment import new_id
from deployment import run_case
from worker import Worker

CAPACITY = {"cpu": 32000, "mem_mb": 128000, "gpu": 0}
STEP = {
    "count": 3,
    "cpu": 6400,
    "mem_mb": 13000,
    "long_running": True,
    "image": "601cb9",
}
# RULES.md, LOST: a lasting task is judged from 6 s after its last run, and has
# nothing running for 3 s, if these and the 4 s before them are calm. We let
# contact_ms pass before the calm begins.
AFTER_LAST_RUN_S = 6.0
NOTHING_RUNS_S = 3.0
CALM_BEFORE_S = 4.0
CONTACT_S = 3.0


def run_seconds(task, spec):
    return 10_000.0


async def scenario(record, trouble):
    deployment = Deployment(record, nodes=4)
    for number in range(6):
        deployment.workers.append(
            Worker(
                f"i-7f3a91c{number}",
                deployment.store,
                record,
                run_seconds,
                CAPACITY,
                6.0,
            )
        )
    workers = deployment.workers
    try:
        await deployment.start()
        submission = new_id()
        if not await deployment.submit(submission, {"spec": "print", "steps": [STEP]}):
            return 2
        if not await deployment.wait(
            lambda: sum(w.running_count for w in workers) == 3, 10, "3 tasks run"
        ):
            return 2
        await asyncio.sleep(5)
        victim = max(workers, key=lambda w: w.running_count)
        lost_tasks = [task for _, task, _, _ in victim.starts]
        record(f"tasks on {victim.name}: {lost_tasks}")
        lost_at = time.time()
        calm_from = lost_at
        if trouble:
            record(f"worker {victim.name} is lost for good")
            await victim.stop()
            await asyncio.sleep(2.0)
            leader = deployment.leader()
            leader.kill()
            record(f"the machine of {leader.name} is removed for good")
            calm_from = time.time()
            # The platform removes the entry after three intervals of silence.
            await asyncio.sleep(2.5)
            await deployment.store.delete("servers", victim.name)
        deadline = calm_from + 40
        while time.time() < deadline:
            await asyncio.sleep(0.5)
        for worker in workers:
            for at, task, run, _ in worker.starts:
                record(f"start {task} run {run} on {worker.name} {at - lost_at:+.3f} s")
        broken = []
        for task in lost_tasks if trouble else ():
            starts = [
                at
                for w in workers
                for at, t, _, _ in w.starts
                if t == task and at > lost_at
            ]
            begin = max(
                lost_at + AFTER_LAST_RUN_S, calm_from + CONTACT_S + CALM_BEFORE_S
            )
            again = min(starts, default=float("inf"))
            record(
                f"{task}: nothing ran for {again - lost_at:.1f} s;"
                f" the rule allows up to {begin + NOTHING_RUNS_S - lost_at:.1f} s"
            )
            if again > begin + NOTHING_RUNS_S:
                broken.append(task)
        running = [w.running_count for w in workers if w is not victim or not trouble]
        record(f"tasks on the workers at the end: {running}")
        record(f"LOST: {len(broken)} tasks {broken}")
        if not trouble and sum(running) != 3:
            return 1
        return 1 if broken else 0
    finally:
        await deployment.stop()


run_case(".", scenario)
