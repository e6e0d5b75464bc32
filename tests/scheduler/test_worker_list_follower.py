"""Tests of the list of workers that a leader follows."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from testtools import TestCase

from carawaystep.entry.loop_clock import LoopClock
from carawaystep.scheduler.worker_list_follower import WorkerListFollower
from carawaystep.store.row import Row
from tests.planner.planners import new_planner
from tests.planner.planners import worker_record


class _Feed:
    """Returns the rows of a full read at each call."""

    is_full_read = True

    def __init__(self, *reads: tuple[str, ...]) -> None:
        self._reads = list(reads)
        self.all_read = asyncio.Event()

    async def read(self) -> list[Row]:
        if not self._reads:
            self.all_read.set()
            await asyncio.Event().wait()
        names = self._reads.pop(0)
        return [Row(name, {"x": 1}, 5, 5) for name in names]


class WorkerListFollowerTest(TestCase):
    """Workers that join and leave."""

    def test_worker_that_left_while_history_was_lost_is_dropped(self) -> None:
        """Guards against a server that is used again after it has left.

        The feed has lost its deletion, so that only the full read shows it.
        """
        planner = new_planner()
        worker_list = SimpleNamespace(
            record_from_row=lambda row: worker_record(row.key)
        )

        async def run() -> None:
            feed = _Feed(("w1", "w2"), ("w1",))
            follower = WorkerListFollower(
                worker_list,  # type: ignore[arg-type]
                feed,  # type: ignore[arg-type]
                planner,
                asyncio.Event(),
                LoopClock(),
            )
            task = asyncio.create_task(follower.run())
            await feed.all_read.wait()
            task.cancel()

        asyncio.run(run())
        self.assertEqual({"w1"}, {key.id for key in planner.workers})
