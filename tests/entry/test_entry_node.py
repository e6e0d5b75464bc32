"""Tests of an entry process with a fake platform and workers."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from result import Ok
from testtools import TestCase

from carawaystep.entry.job_call import JobCall
from carawaystep.job.job_state import JobState
from tests.fakes.fake_fleet import FakeFleet
from tests.proof.documents import TEXTS
from tests.standin.event_loops import virtual_time

if TYPE_CHECKING:
    from carawaystep.entry.entry_node import EntryNode


class EntryNodeTest(TestCase):
    """Tests the drain of an entry and the restart of an owned worker."""

    @virtual_time
    async def test_drain_waits_for_a_submission(self) -> None:
        """Guards against a drain that ends before a submission returns.

        The job would be stored, but its caller would get no reply. Found by
        random runs, seed 41.
        """
        fleet, node = await self._start()
        fleet.network.faults.max_delay_s = 0.5
        call = JobCall("rechecks", "k1", "{}", None, 5.0)
        submitting = asyncio.create_task(node.submit_job(call))
        await asyncio.sleep(0)
        self.assertTrue(await node.drain())
        self.assertTrue(submitting.done())
        await fleet.stop()

    @virtual_time
    async def test_ends_after_a_worker_restart_are_stored(self) -> None:
        """Guards against ends that are skipped after a worker restart.

        A restarted worker counts sequences from the start again. Found by
        random runs, seed 32: the second end after the restart had the
        sequence from which the owner continued to poll.
        """
        fleet, node = await self._start()
        (worker,) = fleet.workers.values()
        for number in range(4):
            call = JobCall("rechecks", f"a{number}", "{}", None, 1.0)
            await node.submit_job(call)
        await asyncio.sleep(20)
        worker.restart()
        calls = [
            JobCall("rechecks", f"b{number}", "{}", None, 1.0)
            for number in range(4)
        ]
        submitted = [await node.submit_job(call) for call in calls]
        await asyncio.sleep(60)
        for accepted in submitted:
            assert isinstance(accepted, Ok)
            found = await node.find_job(accepted.ok_value.id)
            assert isinstance(found, Ok)
            self.assertEqual(JobState.DONE, found.ok_value.state)
        (_, last) = worker.incarnations
        ran = [execution.id for execution in last[0].ledger.executions]
        self.assertEqual(4, len(set(ran)))
        self.assertEqual(4, len(ran))
        await fleet.stop()

    async def _start(self) -> tuple[FakeFleet, EntryNode]:
        fleet = FakeFleet(Random(1), zones=1, entries=1, workers=1, slots=6)
        await fleet.start_all()
        (node,) = fleet.nodes.values()
        await node.put_document("rechecks", TEXTS["rechecks"], 0, None)
        await asyncio.sleep(3)
        return fleet, node
