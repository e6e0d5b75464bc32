"""Tests of the session with a worker."""

from __future__ import annotations

import asyncio
from random import Random

from testtools import TestCase

from carawaystep.entry.job_call import JobCall
from carawaystep.worker.execution_end import ExecutionEnd
from tests.fakes.fake_fleet import FakeFleet
from tests.proof.documents import TEXTS
from tests.standin.event_loops import virtual_time


class WorkerSessionTest(TestCase):
    """Reports and leases while the platform is silent."""

    @virtual_time
    async def test_silent_platform_costs_no_lease(self) -> None:
        """Guards against tasks that lapse because ends cannot be stored.

        Found by the random runs, seed 22: a session waited for the platform
        and asked the worker for no report for 8 s.
        """
        fleet = FakeFleet(Random(1), zones=1, entries=1, slots=16)
        await fleet.start_all()
        (node,) = fleet.nodes.values()
        text = TEXTS["rechecks"].replace("cpu: 4.0", "cpu: 1.0")
        await node.put_document("rechecks", text, 0, None)
        await asyncio.sleep(3)
        for number in range(24):
            run_s = 200.0 if number < 4 else 5.0
            call = JobCall("rechecks", f"k{number}", "{}", None, run_s)
            await node.submit_job(call)
        await asyncio.sleep(3)
        # Calls hang until their time limit, they are not refused.
        fleet.network.pause("platform")
        await asyncio.sleep(120)
        fleet.network.resume("platform")
        await asyncio.sleep(120)
        ends = [
            execution.how
            for worker in fleet.workers.values()
            for execution in worker.incarnations[0][0].ledger.executions
        ]
        await fleet.stop()
        self.assertEqual(24, len(ends))
        self.assertEqual({ExecutionEnd.DONE}, set(ends))
