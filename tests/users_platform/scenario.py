"""Helpers that run a test scenario on a whole deployment."""

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

SUBMISSION_ID = "5c0e7a21d94b36f8"
SUBMISSION_PATH = f"/bookings/{SUBMISSION_ID}"
_STEPS = [
    {"count": 3, "cpu": 500, "mem_mb": 10, "estimated_ms": 100},
    {"count": 1, "cpu": 500, "mem_mb": 10, "after": [0]},
]
SUBMISSION_BODY = {"spec": "text", "steps": _STEPS}


def run_scenario(
    scenario: Callable[[Deployment], Awaitable[None]],
    nodes: int = 2,
    workers: int = 2,
    run_s: float = 0.1,
    max_row_bytes: int = 65_536,
) -> Deployment:
    """Start a deployment, run a scenario on it and stop it.

    :param scenario: coroutine function that drives the deployment
    :param nodes: number of nodes
    :param workers: number of workers
    :param run_s: duration of each task in seconds
    :param max_row_bytes: largest value of a row of the store
    :returns: the stopped deployment, for assertions
    """

    async def run() -> Deployment:
        deployment = Deployment(nodes, workers, run_s, max_row_bytes)
        await deployment.start()
        try:
            await _wait_until_ready(deployment)
            await scenario(deployment)
        finally:
            await deployment.stop()
        return deployment

    return asyncio.run(run())


async def wait_for_state(
    node: Node, state: str, path: str = SUBMISSION_PATH, limit_s: float = 15.0
) -> None:
    """Wait until a node reports a state of a submission.

    :raises TimeoutError: the state was not reached within ``limit_s``
    """
    async with asyncio.timeout(limit_s):
        while True:
            answer = await node.call("GET", path)
            if answer.status == 200:
                reported_state = json.loads(answer.body)["state"]
                if reported_state == state:
                    return
            await asyncio.sleep(0.05)


async def wait_for_condition(
    condition: Callable[[], bool], limit_s: float = 10.0
) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: the condition did not hold within ``limit_s``
    """
    async with asyncio.timeout(limit_s):
        while True:
            if condition():
                return
            await asyncio.sleep(0.05)


def count_starts_by_task(deployment: Deployment) -> Counter[str]:
    """Return the number of starts of each task over all workers."""
    return Counter(
        task for worker in deployment.workers for task, _ in worker.started
    )


async def _wait_until_ready(deployment: Deployment) -> None:
    await wait_for_condition(
        lambda: any(node.was_elected for node in deployment.nodes)
    )
    await asyncio.sleep(0.7)
