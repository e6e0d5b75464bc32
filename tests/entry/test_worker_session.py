"""Tests of the session with a worker."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from result import Err
from testtools import TestCase

from carawaystep.entry.job_call import JobCall
from carawaystep.worker.execution_end import ExecutionEnd
from carawaystep.worker.reservation import Reservation
from carawaystep.worker.resources import Resources
from carawaystep.worker.work_kind import WorkKind
from carawaystep.worker.worker_failure import WorkerRefused
from carawaystep.worker.worker_task import WorkerTask
from tests.fakes.fake_fleet import FakeFleet
from tests.proof.documents import TEXTS
from tests.standin.event_loops import virtual_time

if TYPE_CHECKING:
    from carawaystep.entry.worker_session import WorkerSession


class WorkerSessionTest(TestCase):
    """Tests leases and dispatch when platform or worker fail or leave."""

    @virtual_time
    async def test_unavailable_platform_expires_no_lease(self) -> None:
        """Guards against leases that expire while ends cannot be stored.

        Found by random runs, seed 22: a session waited for the platform and
        did not poll the worker's report for 8 s.
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
        # Calls to a paused platform time out; they are not refused.
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

    @virtual_time
    async def test_leaving_worker_gets_no_reserved_task(self) -> None:
        """Guards against starting a task on a worker known to be leaving.

        Found by random runs, seed 22: the claim of a job was stored 1.3 s
        after its reservation, and the worker reported that it leaves in
        between.
        """
        fleet, session = await self._session()
        task = _task("j1", session)
        worker = session.worker
        worker.mark_leaving()
        started = await session.start_task(task, worker.guard.token)
        self.assertIsInstance(started, Err)
        self.assertIsNone(worker.find("j1"))
        await fleet.stop()

    @virtual_time
    async def test_restarted_worker_gets_no_work_before_its_fence(
        self,
    ) -> None:
        """Guards against dispatch with a token that the worker refused.

        Found by random runs, seed 22.
        """
        fleet, session = await self._session()
        worker = session.worker
        now = asyncio.get_running_loop().time()
        self.assertTrue(worker.can_accept_work(now))
        session._handle_call_failure(
            WorkerRefused("restarted", token_refused=True)
        )
        self.assertFalse(worker.can_accept_work(now))
        await fleet.stop()

    async def _session(self) -> tuple[FakeFleet, WorkerSession]:
        fleet = FakeFleet(Random(1), zones=1, entries=1, workers=1)
        await fleet.start_all()
        await asyncio.sleep(5)
        (node,) = fleet.nodes.values()
        (worker,) = fleet.workers
        session = node._pool.find(worker)
        assert session is not None
        return fleet, session


def _task(name: str, session: WorkerSession) -> WorkerTask:
    """Return a task, with a reservation if the worker accepts work."""
    worker = session.worker
    reservation = Reservation(name, WorkKind.TASK, 1, Resources())
    worker.reserve(reservation, asyncio.get_running_loop().time())
    return WorkerTask(name, 1, "rechecks", Resources(), 0.001, 0.0, None)
