"""Scenarios of a whole deployment on loopback."""

from __future__ import annotations

import asyncio
from collections import Counter
import json
from typing import TYPE_CHECKING

from tests.users_platform.deployment import Deployment

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.users_platform.deployment import Node

ID = "5c0e7a21d94b36f8"
PATH = f"/bookings/{ID}"
STEPS = [
    {"count": 3, "cpu": 500, "mem_mb": 10, "estimated_ms": 100},
    {"count": 1, "cpu": 500, "mem_mb": 10, "after": [0]},
]
BODY = {"spec": "text", "steps": STEPS}


def play(
    scenario: Callable[[Deployment], Awaitable[None]],
    nodes: int = 2,
    workers: int = 2,
    run_s: float = 0.1,
) -> Deployment:
    """Start a deployment, run a scenario on it and stop it.

    :param run_s: how long each task takes
    """

    async def run() -> Deployment:
        deployment = Deployment(nodes, workers, run_s)
        await deployment.start()
        try:
            await _ready(deployment)
            await scenario(deployment)
        finally:
            await deployment.stop()
        return deployment

    return asyncio.run(run())


async def until(
    node: Node, state: str, path: str = PATH, limit_s: float = 15.0
) -> None:
    """Wait until a node shows a submission in a state."""
    async with asyncio.timeout(limit_s):
        while True:
            answer = await node.call("GET", path)
            if answer.status == 200:
                found = json.loads(answer.body)["state"]
                if found == state:
                    return
            await asyncio.sleep(0.05)


async def wait_for(
    condition: Callable[[], bool], limit_s: float = 10.0
) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(limit_s):
        while True:
            if condition():
                return
            await asyncio.sleep(0.05)


def starts_by_task(deployment: Deployment) -> Counter[str]:
    """Return how often each task was begun, on whatever worker."""
    return Counter(
        task for worker in deployment.workers for task, _ in worker.started
    )


async def _ready(deployment: Deployment) -> None:
    await wait_for(lambda: any(node.leads for node in deployment.nodes))
    await asyncio.sleep(0.7)
