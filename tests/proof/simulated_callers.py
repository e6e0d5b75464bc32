"""SimulatedCallers of a proof: requests, repeats, jobs and cancellations."""

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
    """Sends calls to random entries and keeps what they were told."""

    def __init__(
        self, fleet: FakeFleet, random: Random, log: SimulationLog
    ) -> None:
        """Create callers.

        :param fleet: the deployment
        :param random: source of all chance
        :param log: takes steps and violations
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
        """Send calls until a time."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            self._log.steps += 1
            self._start_one()
            await asyncio.sleep(self._random.expovariate(12.0))

    async def finish(self) -> None:
        """Wait for the replies that are still open."""
        await asyncio.gather(*self._tasks)

    def in_flight(self, node: EntryNode) -> int:
        """Return the number of calls that wait for an entry."""
        return sum(1 for target in self._tasks.values() if target is node)

    def break_connections(self, node: EntryNode) -> None:
        """End the calls of an entry that was killed."""
        for task, target in list(self._tasks.items()):
            if target is node:
                task.cancel()

    def _start_one(self) -> None:
        nodes = [node for node in self._fleet.nodes.values() if node.ready]
        if not nodes:
            return
        node = self._random.choice(nodes)
        draw = self._random.random()
        if draw < 0.65:
            self._spawn(node, self._request(node, "bookings", None))
        elif draw < 0.94:
            self._keys += 1
            key = f"k{self._keys}"
            self._spawn(node, self._request(node, "charges", key))
            if self._random.random() < 0.4:
                other = self._random.choice(nodes)
                self._spawn(other, self._request(other, "charges", key))
        elif draw < 0.975 or not self.jobs:
            self._spawn(node, self._submit(node))
        else:
            job = self._random.choice(sorted(self.jobs))
            self._spawn(node, self._cancel(node, job))

    def _spawn(self, node: EntryNode, call: object) -> None:
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

    def _check_answer(self, answer: bytes, name: str, body: bytes) -> None:
        told = json.loads(answer)
        mine = told["id"].partition("/")[0] == name
        self._log.check(
            mine and told["body"] == body.decode(),
            f"request {name} got the answer of {told}",
        )

    async def _submit(self, node: EntryNode) -> None:
        self._keys += 1
        run_s = self._random.uniform(2, 40)
        call = JobCall("rechecks", f"j{self._keys}", "{}", None, run_s)
        for _ in range(2):
            told = await node.submit_job(call)
            if isinstance(told, Ok):
                self.jobs.add(told.ok_value.id)
                return
            if told.err_value.code is not CallFailureCode.UNKNOWN:
                return

    async def _cancel(self, node: EntryNode, job: str) -> None:
        await node.cancel_job(job)
