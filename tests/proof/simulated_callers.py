"""Callers of a simulation: requests, repeats, jobs and cancellations."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.entry.call_failure import CallFailureCode
from carawaystep.entry.job_call import JobCall
from carawaystep.entry.request_call import RequestCall
from carawaystep.request.outcome import Outcome
from tools.call_record import CallRecord

if TYPE_CHECKING:
    from random import Random

    from carawaystep.entry.entry_node import EntryNode
    from tests.fakes.fake_fleet import FakeFleet
    from tests.proof.simulation_log import SimulationLog


class SimulatedCallers:
    """Sends calls to random entries and records their outcomes."""

    def __init__(
        self, fleet: FakeFleet, random: Random, log: SimulationLog
    ) -> None:
        """Create callers without calls.

        :param fleet: simulated deployment
        :param random: random generator of the simulation
        :param log: records steps and violations
        """
        self._fleet = fleet
        self._random = random
        self._log = log
        self._tasks: dict[asyncio.Task[None], EntryNode] = {}
        self._keys = 0
        self.records: list[CallRecord] = []
        self.jobs: set[str] = set()
        self.jobs_reported_done: set[str] = set()

    async def run(self, until: float) -> None:
        """Send calls until a time.

        :param until: time of the event loop in seconds
        """
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            self._log.steps += 1
            self._start_random_call()
            await asyncio.sleep(self._random.expovariate(12.0))

    async def finish(self) -> None:
        """Wait until all calls have ended."""
        await asyncio.gather(*self._tasks)

    def in_flight(self, node: EntryNode) -> int:
        """Return the number of calls that await an answer of an entry."""
        return sum(1 for target in self._tasks.values() if target is node)

    def break_connections(self, node: EntryNode) -> None:
        """Cancel the calls to an entry that is killed."""
        for task, target in list(self._tasks.items()):
            if target is node:
                task.cancel()

    def _start_random_call(self) -> None:
        nodes = [node for node in self._fleet.nodes.values() if node.ready]
        if not nodes:
            return
        node = self._random.choice(nodes)
        draw = self._random.random()
        if draw < 0.65:
            self._start_call(node, self._request(node, "bookings", None))
        elif draw < 0.94:
            self._keys += 1
            key = f"k{self._keys}"
            self._start_call(node, self._request(node, "charges", key))
            if self._random.random() < 0.4:
                other = self._random.choice(nodes)
                self._start_call(other, self._request(other, "charges", key))
        elif draw < 0.975 or not self.jobs:
            self._start_call(node, self._submit(node))
        else:
            job_id = self._random.choice(sorted(self.jobs))
            self._start_call(node, self._cancel(node, job_id))

    def _start_call(self, node: EntryNode, call: object) -> None:
        task = asyncio.ensure_future(call)  # type: ignore[arg-type]
        self._tasks[task] = node
        task.add_done_callback(self._tasks.pop)

    async def _request(
        self, node: EntryNode, service: str, key: str | None
    ) -> None:
        body = f"{service}-{self._random.random()}".encode()
        outcome, request_id = Outcome.UNKNOWN, None
        try:
            result = await node.run_request(
                RequestCall(service, key, None, body)
            )
            outcome = result.reply.outcome
            request_id = result.request_id
            if outcome is Outcome.ANSWERED and key is None:
                self._check_answer(result.reply.body, request_id, body)
        finally:
            self.records.append(
                CallRecord(service, key, "", outcome, request_id, None, 0.0)
            )

    def _check_answer(
        self, answer: bytes, request_id: str, body: bytes
    ) -> None:
        echoed = json.loads(answer)
        same_id = echoed["id"].partition("/")[0] == request_id
        self._log.check(
            same_id and echoed["body"] == body.decode(),
            f"request {request_id} received a wrong answer: {echoed}",
        )

    async def _submit(self, node: EntryNode) -> None:
        self._keys += 1
        run_s = self._random.uniform(2, 40)
        call = JobCall("rechecks", f"j{self._keys}", "{}", None, run_s)
        for _ in range(2):
            submitted = await node.submit_job(call)
            if isinstance(submitted, Ok):
                self.jobs.add(submitted.ok_value.id)
                return
            if submitted.err_value.code is not CallFailureCode.UNKNOWN:
                return

    async def _cancel(self, node: EntryNode, job_id: str) -> None:
        await node.cancel_job(job_id)
