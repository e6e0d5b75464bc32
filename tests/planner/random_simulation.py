"""Randomized simulation of a planner with faulty leaders and workers.

Leaders are lost before and after they store changes. Some of them go on for a
while: they extend the leases of workers that the next leader does not see.
Members lose the leader and extend leases until their grants end. Workers
become unreachable, restart, and execute orders late. The invariants are
checked at the workers, whenever a run starts.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.planner.interference_aware_placement import (
    InterferenceAwarePlacement,
)
from carawaystep.planner.interference_model import InterferenceModel
from carawaystep.planner.planner import Planner
from carawaystep.planner.planner_limits import PlannerLimits
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.task_state import TaskState
from tests.planner.planners import RecordingLog
from tests.planner.planners import worker_record
from tests.planner.simulated_worker import LEASE_S
from tests.planner.simulated_worker import SimulatedRun
from tests.planner.simulated_worker import SimulatedWorker
from tests.workflow.workflows import workflow_spec

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaystep.fleet.order import Order
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.fleet.worker_report import EndedRun
    from carawaystep.planner.changes import Changes
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow_record import WorkflowRecord
    from carawaystep.workflow.workflow_spec import WorkflowSpec

_TICK_S = 0.05
_TICKS_PER_REPORT = 6
_LOST_ANSWER_DELAY_S = 0.6
_CAPACITY_MILLIS = 4000
# Validity of a leader's own lease after its successor was elected.
_LEADER_LEASE_S = 10.0
# Time in which a member that has lost the leader extends leases.
_GRANT_S = 2.0
_LOST_AFTER_S = LEASE_S + _GRANT_S
_LIMITS = PlannerLimits(
    lease_ends_after_s=LEASE_S,
    lost_after_s=_LOST_AFTER_S,
    takeover_lost_after_s=_LEADER_LEASE_S + _LOST_AFTER_S,
    longest_lease_s=LEASE_S,
)


@dataclass(frozen=True, slots=True)
class _Predecessor:
    """An earlier leader that does not know yet that it was replaced.

    :param term: number of its term
    :param acts_until: simulated time in seconds at which it stops
    """

    term: int
    acts_until: float


class RandomSimulation:
    """One simulation, which is reproducible by its seed."""

    def __init__(
        self,
        seed: int,
        planner: type[Planner] = Planner,
        workers: int = 5,
        ends_per_report: int = 500,
    ) -> None:
        """Create a simulation at time 0.

        :param seed: seed of all random choices
        :param planner: class under test, such as a faulty variant
        :param workers: number of workers
        :param ends_per_report: how many ends a worker reports at most
        """
        self._random = Random(seed)
        self._planner_class = planner
        self.violations: list[str] = []
        self.now = 0.0
        self.workers = {
            name: SimulatedWorker(name, ends_per_report)
            for name in (f"w{number}" for number in range(workers))
        }
        self._specs: dict[str, WorkflowSpec] = {}
        self._records: dict[str, WorkflowRecord] = {}
        self._final_states: dict[str, str] = {}
        self._done: set[TaskRef] = set()
        self._failures: dict[TaskRef, int] = {}
        self._last_started_runs: dict[TaskRef, int] = {}
        self._acknowledged: dict[tuple[str, int], int] = {}
        self._scheduled_calls: list[tuple[float, Callable[[], None]]] = []
        self._term = 0
        self._leaderless_until = 0.0
        self._predecessors: list[_Predecessor] = []
        self._planner = self._new_planner()

    @property
    def settled(self) -> bool:
        """Tell whether every stored workflow is settled.

        It has ended then, and no run of it can exist.
        """
        return not self._specs and not self._planner.workflows

    def advance(self, seconds: float, faults: bool) -> None:
        """Simulate a period.

        :param faults: whether to submit workflows and to inject faults
        """
        for number in range(int(seconds / _TICK_S)):
            self.now += _TICK_S
            if faults:
                self._inject_fault()
            for worker in self.workers.values():
                worker.end_due_runs(self.now)
            due = [
                call for at, call in self._scheduled_calls if at <= self.now
            ]
            self._scheduled_calls = [
                x for x in self._scheduled_calls if x[0] > self.now
            ]
            for call in due:
                call()
            self._stop_predecessors()
            if number % _TICKS_PER_REPORT == 0:
                self._extend_leases_of_predecessors()
                self._extend_leases_unheard()
            if self.now < self._leaderless_until:
                continue
            if number % _TICKS_PER_REPORT == 0:
                self._report_all()
            if faults and self._random.random() < 0.05:
                self._submit()
            self._run_leader(faults)

    def _new_planner(self) -> Planner:
        self._term += 1
        interference = InterferenceModel()
        planner = self._planner_class(
            _LIMITS,
            InterferenceAwarePlacement(interference),
            interference,
            RecordingLog(),
            self.now,
        )
        for workflow_id, spec in self._specs.items():
            planner.restore(spec, self._records.get(workflow_id))
        self._list_workers(planner)
        return planner

    def _list_workers(self, planner: Planner) -> None:
        records = [
            worker_record(
                w.name, _CAPACITY_MILLIS, 4000, started_at_ms=w.started_at_ms
            )
            for w in self.workers.values()
            if w.running and (w.listed or not w.cut_off(self.now))
        ]
        planner.update_worker_list(records, self.now)

    def _submit(self) -> None:
        steps = [
            StepSpec(
                self._random.randint(1, 4),
                cpu_millis=self._random.choice((500, 1000, 2000)),
                memory_mb=10,
                after=(0,) if number else (),
            )
            for number in range(self._random.randint(1, 2))
        ]
        workflow_id = f"{self._random.getrandbits(64):016x}"
        self._planner.admit(
            workflow_spec(*steps, id=workflow_id, max_attempts=3), False
        )

    def _run_leader(self, faults: bool) -> None:
        planner = self._planner
        planner.requeue_lost_runs(self.now, self._contact_times)
        if self._random.random() < 0.1:
            planner.retry_stops()
        planner.plan(self.now, 2000.0)
        self._send(planner.take_immediate_orders(), self._term)
        changes = planner.take_changes()
        if faults and self._random.random() < 0.004:
            # The leader is lost before, during or after its write.
            if self._random.random() < 0.7:
                self._store(changes)
                if self._random.random() < 0.5:
                    self._send(changes.orders, self._term, late=True)
            self._replace_leader()
            return
        self._store(changes)
        to_send = []
        for order in changes.orders:
            if not isinstance(order, StartOrder) or planner.should_send(
                order, self.now
            ):
                to_send.append(order)
            else:
                planner.withdraw_start(order)
        self._send(to_send, self._term)
        for key, number in changes.acknowledged.items():
            self._acknowledged[key.id, key.started_at_ms] = number

    def _replace_leader(self) -> None:
        pause_s = self._random.uniform(0.2, 2.0)
        self._leaderless_until = self.now + pause_s
        self._acknowledged.clear()
        goes_on_s = self._random.choice((0.0, 1.0)) * self._random.uniform(
            0.0, _LEADER_LEASE_S
        )
        self._predecessors.append(
            _Predecessor(self._term, self.now + goes_on_s)
        )
        for worker in self.workers.values():
            if self._random.random() < 0.5:
                worker.listed = self._random.random() < 0.5
                worker.cut_off_until = self.now + self._random.uniform(
                    5.0, 20.0
                )
        self._planner = self._new_planner()

    def _stop_predecessors(self) -> None:
        if not self._predecessors:
            return
        self._predecessors = [
            predecessor
            for predecessor in self._predecessors
            if predecessor.acts_until > self.now
        ]
        if not self._predecessors:
            self._planner.set_predecessor_stop_time(self.now)

    def _extend_leases_of_predecessors(self) -> None:
        """Have earlier leaders call workers that the leader does not reach."""
        for predecessor in self._predecessors:
            for worker in self.workers.values():
                if worker.cut_off(self.now) and worker.running:
                    worker.report(predecessor.term, 0, self.now)

    def _store(self, changes: Changes) -> None:
        for spec in changes.accepted:
            self._specs[spec.id] = spec
        for workflow_id, record in changes.progress.items():
            self._records[workflow_id] = record
            for task in record.tasks:
                if task.state == TaskState.DONE.value:
                    ref = (workflow_id, task.occurrence, task.step, task.index)
                    self._done.add(ref)  # type: ignore[arg-type]
        for workflow_id, state in changes.settled.items():
            self._final_states[workflow_id] = state.value
            self._specs.pop(workflow_id, None)
            self._records.pop(workflow_id, None)

    def _report_all(self) -> None:
        self._list_workers(self._planner)
        for worker in self.workers.values():
            if not worker.reachable(self.now):
                continue
            number = self._acknowledged.get(
                (worker.name, worker.started_at_ms), 0
            )
            known_ends = worker.unacknowledged_ends
            report = worker.report(self._term, number, self.now)
            if report is not None:
                for ended in known_ends:
                    if ended.number <= number:
                        self._check_acknowledged_end(worker, ended)
                self._planner.handle_report(report, self.now)

    def _send(
        self, orders: list[Order], term: int, late: bool = False
    ) -> None:
        for order in orders:
            worker = self.workers[order.worker.id]
            deadline = self.now + LEASE_S
            chance = self._random.random()
            if late or chance < 0.02:
                delay_s = self._random.uniform(0.5, 5.0)
                self._execute_later(delay_s, order, term, deadline)
                self._schedule_answer(
                    order, OrderOutcome.UNKNOWN, term, _LOST_ANSWER_DELAY_S
                )
            elif not worker.reachable(self.now) or chance < 0.03:
                self._schedule_answer(
                    order, OrderOutcome.UNKNOWN, term, _LOST_ANSWER_DELAY_S
                )
            elif chance < 0.05:
                self._execute_order(order, term, deadline)
                self._schedule_answer(
                    order, OrderOutcome.UNKNOWN, term, _LOST_ANSWER_DELAY_S
                )
            else:
                done = self._execute_order(order, term, deadline)
                outcome = (
                    OrderOutcome.DONE if done else OrderOutcome.SUPERSEDED
                )
                self._schedule_answer(order, outcome, term, _TICK_S)

    def _execute_later(
        self, delay_s: float, order: Order, term: int, deadline: float
    ) -> None:
        def execute() -> None:
            if self.workers[order.worker.id].running:
                self._execute_order(order, term, deadline)

        self._scheduled_calls.append((self.now + delay_s, execute))

    def _schedule_answer(
        self, order: Order, outcome: OrderOutcome, term: int, delay_s: float
    ) -> None:
        def deliver_answer() -> None:
            if term == self._term and self.now >= self._leaderless_until:
                self._planner.handle_order_outcome(order, outcome, self.now)

        self._scheduled_calls.append((self.now + delay_s, deliver_answer))

    def _execute_order(self, order: Order, term: int, deadline: float) -> bool:
        worker = self.workers[order.worker.id]
        if worker.key != order.worker:
            return False
        if isinstance(order, StopOrder):
            return worker.stop(order.ref, order.run, term, self.now)
        workflow = self._planner.workflows.get(order.ref.workflow)
        step = None if workflow is None else workflow.step(order.ref)
        failed = self._random.random() < 0.1
        run = SimulatedRun(
            order.run,
            0 if step is None else step.cpu_millis,
            self.now + self._random_run_duration(),
            RunEnd.FAILED if failed else RunEnd.DONE,
        )
        if not worker.start(order.ref, run, term, deadline, self.now):
            return False
        self._check_invariants(order.ref, worker)
        return True

    def _extend_leases_unheard(self) -> None:
        """Have members without contact to the leader extend leases."""
        for worker in self.workers.values():
            if (
                worker.running
                and not worker.cut_off(self.now)
                and worker.unheard(self.now)
                and self.now < worker.contacts_lost_at[-1] + _GRANT_S
            ):
                worker.report(self._term, 0, self.now)

    def _contact_times(self, key: WorkerKey) -> list[float]:
        worker = self.workers[key.id]
        lost_at = [at for at in worker.contacts_lost_at if at <= self.now]
        if not worker.unheard(self.now):
            return [*lost_at, self.now]
        return lost_at

    def _random_run_duration(self) -> float:
        """Return a duration; some runs outlast all leases of predecessors."""
        if self._random.random() < 0.1:
            return self._random.uniform(10.0, 20.0)
        return self._random.uniform(0.2, 4.0)

    def _check_invariants(self, ref: TaskRef, at: SimulatedWorker) -> None:
        self._last_started_runs[ref] = at.runs[ref].run
        for worker in self.workers.values():
            if worker is not at and worker.running and ref in worker.runs:
                self._record_violation(
                    f"{ref} runs on {worker.name} and {at.name}"
                )
        if tuple(ref) in self._done:
            self._record_violation(f"{ref} starts although it is done")
        spec = self._specs.get(ref.workflow)
        for earlier in () if spec is None else spec.steps[ref.step].after:
            for index in range(spec.steps[earlier].count if spec else 0):
                if (ref.workflow, 0, earlier, index) not in self._done:
                    self._record_violation(
                        f"{ref} starts before step {earlier}"
                    )
        if sum(run.cpu_millis for run in at.runs.values()) > _CAPACITY_MILLIS:
            self._record_violation(f"{at.name} runs more than its capacity")

    def _check_acknowledged_end(
        self, worker: SimulatedWorker, ended: EndedRun
    ) -> None:
        """Check that no later run of a task that was done has started."""
        if ended.end is not RunEnd.DONE or not worker.held_lease_since(ended):
            return
        if self._last_started_runs.get(ended.ref, 0) > ended.run:
            self._record_violation(
                f"{ended.ref} has started again after run {ended.run} was done"
            )

    def _record_violation(self, text: str) -> None:
        self.violations.append(f"{self.now:.2f}: {text}")

    def _inject_fault(self) -> None:
        chance = self._random.random()
        worker = self._random.choice(list(self.workers.values()))
        if chance < 0.003:
            worker.unreachable_until = self.now + self._random.uniform(
                1.0, 9.0
            )
        elif chance < 0.005 and worker.running:
            worker.crash()
            restart_delay_s = self._random.uniform(0.5, 4.0)
            self._scheduled_calls.append(
                (self.now + restart_delay_s, worker.restart)
            )
        elif chance < 0.010 and worker.running:
            worker.lose_contact(
                self.now + self._random.uniform(4.0, 6.0),
                self._random.uniform(1.0, 8.0),
            )
        elif chance < 0.013 and self._planner.workflows:
            workflow_id = self._random.choice(list(self._planner.workflows))
            self._planner.cancel(workflow_id)
