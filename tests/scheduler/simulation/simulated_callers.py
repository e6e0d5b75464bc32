"""Callers of a simulation."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.scheduler.call_outcome import CallOutcome
from carawaystep.workflow.step_spec import StepSpec
from tests.fakes.fake_clock import FakeClock
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from carawaystep.workflow.workflow_spec import WorkflowSpec
    from tests.scheduler.simulation.promise_checks import PromiseChecks
    from tests.scheduler.simulation.simulated_node import SimulatedNode
    from tests.scheduler.simulation.simulation_record import SimulationRecord

_CALL_TIMEOUT_S = 3.0
_MAX_ATTEMPTS = 5
_MEAN_INTERVAL_S = 0.3
_CANCELLATION_RATE = 0.45
_MAX_CANCELLATION_DELAY_S = 4.0
_REPEAT_RATE = 0.15
_MAX_REPEAT_DELAY_S = 4.0
_STATE_READS = 4
_BURST_SIZE = 4
_MAX_READ_INTERVAL_S = 2.0


class SimulatedCallers:
    """Submits, repeats and cancels workflows, and asks for their states.

    Each call goes to a node at random, and again to another without a
    definite answer. ``on_call`` is called when a call that writes is sent
    and when it is confirmed.
    """

    def __init__(
        self,
        nodes: list[SimulatedNode],
        random: Random,
        checks: PromiseChecks,
        record: SimulationRecord,
    ) -> None:
        """Create callers without calls.

        :param nodes: nodes that take calls
        :param random: source of all random decisions
        :param checks: checks each outcome
        :param record: receives each outcome
        """
        self._nodes = nodes
        self._random = random
        self._checks = checks
        self._record = record
        self._clock = FakeClock()
        self._tasks: set[asyncio.Task[None]] = set()
        self.on_call: Callable[[], None] = lambda: None

    async def run(self, until: float) -> None:
        """Submit workflows until a time, then wait for all calls."""
        while self._clock.now() < until:
            await asyncio.sleep(self._random.expovariate(1 / _MEAN_INTERVAL_S))
            spec = self._begin_workflow(None)
            if self._random.random() < _CANCELLATION_RATE:
                self._spawn(self._cancel(spec.id))
            if self._random.random() < _REPEAT_RATE:
                self._spawn(self._submit_later(spec))
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    async def read_state(self, workflow_id: str) -> None:
        """Ask any node for the state of a workflow once."""
        await self._read_state_at(workflow_id, self._choose_node())

    async def read_state_everywhere(self, workflow_id: str) -> None:
        """Ask each node for the state of a workflow."""
        for node in self._nodes:
            await self._read_state_at(workflow_id, node)

    async def _read_state_at(
        self, workflow_id: str, node: SimulatedNode
    ) -> None:
        asked_at = self._clock.now()
        result = await node.call(
            lambda service: service.state(workflow_id), _CALL_TIMEOUT_S
        )
        if isinstance(result, Ok):
            self._record.add(
                f"caller {workflow_id} is {result.ok_value} at {node.name}"
            )
            self._checks.record_state(workflow_id, asked_at, result.ok_value)

    def submit_burst(self, node: SimulatedNode) -> None:
        """Submit several workflows at a node."""
        for _ in range(_BURST_SIZE):
            self._begin_workflow(node)

    def _begin_workflow(self, node: SimulatedNode | None) -> WorkflowSpec:
        """Submit a workflow, and ask for its state later.

        :param node: node that gets the first attempt, None for any
        """
        spec = self._draw_workflow()
        self._checks.add_workflow(spec.id)
        self._spawn(self._submit(spec, node))
        self._spawn(self._read_states(spec.id))
        return spec

    def _spawn(self, work: object) -> None:
        task: asyncio.Task[None]
        task = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = task.exception()
        self._record.check(error is None, f"a call has failed: {error!r}")

    def _draw_workflow(self) -> WorkflowSpec:
        steps = [
            StepSpec(
                self._random.randint(1, 3),
                cpu_millis=self._random.choice((500, 1000, 2000)),
                memory_mb=10,
                estimated_s=1.0,
                after=(0,) if number else (),
            )
            for number in range(self._random.randint(1, 2))
        ]
        workflow_id = f"{self._random.getrandbits(64):016x}"
        return workflow_spec(
            *steps, id=workflow_id, payload=workflow_id, max_attempts=3
        )

    def _choose_node(self) -> SimulatedNode:
        running = [node for node in self._nodes if node.process is not None]
        return self._random.choice(running or self._nodes)

    async def _submit(
        self, spec: WorkflowSpec, first: SimulatedNode | None = None
    ) -> None:
        for _ in range(_MAX_ATTEMPTS):
            node = first or self._choose_node()
            first = None
            if node.process is not None:
                self.on_call()
                self._checks.begin_submission(spec.id)
                attempt = replace(spec, accepted_at_s=self._clock.wall_now())
                answer = await node.call(
                    lambda service, attempt=attempt: service.submit(attempt),
                    _CALL_TIMEOUT_S,
                )
                outcome = None if answer is None else answer.outcome
                if answer is not None and answer.refusal is not None:
                    self._record.refusals += 1
                self._record.add(
                    f"caller {spec.id} submission {outcome} at {node.name}"
                )
                self._checks.record_submission(spec.id, outcome)
                if outcome is CallOutcome.ACCEPTED:
                    self.on_call()
                    return
            await asyncio.sleep(self._random.uniform(0.02, 1.5))

    async def _submit_later(self, spec: WorkflowSpec) -> None:
        await asyncio.sleep(self._random.uniform(0, _MAX_REPEAT_DELAY_S))
        await self._submit(spec)

    async def _cancel(self, workflow_id: str) -> None:
        # Many soon after the submission, some before it is stored.
        await asyncio.sleep(
            _MAX_CANCELLATION_DELAY_S * self._random.random() ** 3
        )
        promise = self._checks.promises[workflow_id]
        for _ in range(_MAX_ATTEMPTS):
            node = self._choose_node()
            if node.process is not None:
                self.on_call()
                promise.cancel_sent = True
                asked_at = self._clock.now()
                outcome = await node.call(
                    lambda service: service.cancel(workflow_id),
                    _CALL_TIMEOUT_S,
                )
                self._record.add(
                    f"caller {workflow_id} cancellation {outcome} at"
                    f" {node.name}"
                )
                self._checks.record_cancellation(
                    workflow_id, asked_at, outcome
                )
                if outcome in (CallOutcome.ACCEPTED, CallOutcome.ABSENT):
                    self.on_call()
                    return
            await asyncio.sleep(self._random.uniform(0.02, 1.0))

    async def _read_states(self, workflow_id: str) -> None:
        for _ in range(_STATE_READS):
            await asyncio.sleep(self._random.uniform(0, _MAX_READ_INTERVAL_S))
            await self.read_state(workflow_id)
