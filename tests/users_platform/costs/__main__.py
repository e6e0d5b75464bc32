"""Prints the processor time of each operation in microseconds.

Run it as ``python -m tests.users_platform.costs``. The store and the worker
run in a separate process, whose time is not counted.
"""

from __future__ import annotations

import asyncio
import json
from time import process_time
from typing import TYPE_CHECKING

import msgspec

from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.worker_capacity import WorkerCapacity
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.fleet.worker_record import WorkerRecord
from carawaystep.fleet.worker_report import EndedRun
from carawaystep.fleet.worker_report import WorkerReport
from carawaystep.planner.decision_log import DecisionLog
from carawaystep.planner.interference_aware_placement import (
    InterferenceAwarePlacement,
)
from carawaystep.planner.interference_model import InterferenceModel
from carawaystep.planner.planner import Planner
from carawaystep.planner.planner_limits import PlannerLimits
from carawaystep.routing.queue_route import QueueRoute
from carawaystep.scheduler import tables
from carawaystep.store.operation import PutRow
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.task_ref import TaskRef
from carawaystep_platform.store_client import StoreClient
from carawaystep_platform.submissions import SubmissionReader
from carawaystep_platform.worker_client import WorkerClient
from tests.users_platform.costs.stub_services import stub_services

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_REPETITIONS = 2000
_WORKERS = 24
_TASKS = 6
_KEY = WorkerKey("i-0", 7)
_ROUTE = QueueRoute("r", "h", "/q/", "desk", 0, 3, 1.5, 0.25)
_BODY = json.dumps(
    {
        "spec": "x" * 500,
        "steps": [{"count": _TASKS, "cpu": 100, "estimated_ms": 800}],
    }
).encode()


class _DiscardingLog(DecisionLog):
    """Discards all lines; their cost is measured in the daemon, not here."""

    def line(
        self, event: str, subject: str, **inputs: str | int | float
    ) -> None:
        """Discard a line."""


async def _measure_call_us(call: Callable[[], Awaitable[object]]) -> float:
    for _ in range(_REPETITIONS // 10):
        await call()
    started_at = process_time()
    for _ in range(_REPETITIONS):
        await call()
    return (process_time() - started_at) / _REPETITIONS * 1e6


async def _measure_calls() -> dict[str, float]:
    with stub_services() as address:
        worker = WorkerClient(_KEY, address, 6.0)
        store = StoreClient(address)
        ref = TaskRef("5c0e7a21d94b36f8", 0, 1, 3)
        order = StartOrder(_KEY, ref, 2, "x" * 500)
        row = PutRow(tables.PROGRESS, ref.workflow, 1, {"tasks": []})
        try:
            return {
                "look": await _measure_call_us(
                    lambda: worker.fetch_report(3, 0, True, wait_s=0.0)
                ),
                "start": await _measure_call_us(
                    lambda: worker.execute_order(order, 3)
                ),
                "commit": await _measure_call_us(
                    lambda: store.transact([row])
                ),
            }
        finally:
            await worker.close()
            await store.close()


def _create_offer(number: int) -> WorkerRecord:
    return WorkerRecord(
        WorkerKey(f"i-{number}", 7),
        "desk",
        "127.0.0.1:1",
        "zone",
        "rack",
        frozenset(),
        WorkerCapacity(10**9, 10**9, 0),
        draining=False,
    )


def _measure_decisions() -> dict[str, float]:
    """Measure decoding, placement and ends of runs without any call."""
    reader = SubmissionReader()
    interference = InterferenceModel()
    planner = Planner(
        PlannerLimits(6.5, 8.5, 18.5, 6.5),
        InterferenceAwarePlacement(interference),
        interference,
        _DiscardingLog(),
        0.0,
    )
    planner.update_worker_list(
        [_create_offer(number) for number in range(_WORKERS)], 0.0
    )
    for worker in list(planner.workers):
        planner.handle_report(WorkerReport(worker, [], []), 0.0)
    started_at = process_time()
    specs = [
        reader.read(f"{number:016x}", _ROUTE, _BODY, 0.0).unwrap()
        for number in range(_REPETITIONS)
    ]
    decoded_at = process_time()
    placed_s = ended_s = 0.0
    number = 0
    for spec in specs:
        admitted_at = process_time()
        planner.admit(spec, stored=False)
        planner.plan(0.5, 0.5)
        changes = planner.take_changes()
        msgspec.json.encode(changes.progress)
        placed_at = process_time()
        for order in changes.orders:
            number += 1
            ended = EndedRun(number, order.ref, order.run, RunEnd.DONE, "")
            planner.handle_report(WorkerReport(order.worker, [], [ended]), 0.6)
            msgspec.json.encode(planner.take_changes().progress)
        placed_s += placed_at - admitted_at
        ended_s += process_time() - placed_at
    return {
        "decode": (decoded_at - started_at) / _REPETITIONS * 1e6,
        "place": placed_s / number * 1e6,
        "end": ended_s / number * 1e6,
    }


def main() -> None:
    """Print the microseconds of each operation as one JSON object."""
    costs_us = {**asyncio.run(_measure_calls()), **_measure_decisions()}
    print(json.dumps({name: round(us) for name, us in costs_us.items()}))


if __name__ == "__main__":
    main()
