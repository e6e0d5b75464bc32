"""Random runs of the planner, and faulty variants that they must catch."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest.mock import patch

from testtools import TestCase

from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.tracked_worker import TrackedWorker
from carawaystep.planner.planner import Planner
from carawaystep.workflow.task_ref import TaskRef
from carawaystep.workflow.task_state import TaskState
from carawaystep.workflow.workflow import Workflow
from tests.planner.random_simulation import RandomSimulation

if TYPE_CHECKING:
    from unittest.mock import _patch

    from carawaystep.fleet.order import Order
    from carawaystep.workflow.workflow_record import WorkflowRecord
    from carawaystep.workflow.workflow_spec import WorkflowSpec

_SEEDS = range(12)
_FAULTS_S = 40.0
_CALM_S = 60.0


class _TrustsStops(Planner):
    """Takes the confirmation of a stop as the end of the run."""

    def handle_order_outcome(
        self, order: Order, outcome: OrderOutcome, now: float
    ) -> None:
        super().handle_order_outcome(order, outcome, now)
        worker = self._workers.get(order.worker)
        tracked = None if worker is None else worker.runs.get(order.ref)
        if (
            worker
            and tracked is not None
            and tracked.reports_without_run is not None
        ):
            self._lose_run(worker, order.ref, order.run, "trusted")


class _RepeatsUnanswered(Planner):
    """Takes a start without an answer as one that was not done."""

    def handle_order_outcome(
        self, order: Order, outcome: OrderOutcome, now: float
    ) -> None:
        if outcome is OrderOutcome.UNKNOWN:
            outcome = OrderOutcome.NOT_SENT
        super().handle_order_outcome(order, outcome, now)


class _ForgetsPlacements(Planner):
    """Starts a term as if no stored run could exist."""

    def restore(
        self, spec: WorkflowSpec, record: WorkflowRecord | None
    ) -> None:
        super().restore(spec, record)
        workflow = self.workflows[spec.id]
        for ref, task in list(workflow.placed_tasks()):
            workflow.lose_run(ref, task.run)


class _GivesUpEarly(Planner):
    """Requeues the runs of a silent worker before its lease has passed."""

    def requeue_lost_runs(self, now: float) -> None:
        super().requeue_lost_runs(now + 6.0)


def _violations(planner: type[Planner]) -> int:
    found = 0
    for seed in _SEEDS:
        run = RandomSimulation(seed, planner)
        try:
            run.play(_FAULTS_S, faults=True)
        except BrokenInvariant:
            found += 1
        found += len(run.violations)
    return found


class RandomSimulationTest(TestCase):
    """Rules under losses of leaders, workers, orders and answers."""

    def test_rules_hold_and_all_work_ends(self) -> None:
        """Guards against double runs, wrong order, overcommit, lost work."""
        for seed in _SEEDS:
            run = RandomSimulation(seed)
            run.play(_FAULTS_S, faults=True)
            run.play(_CALM_S, faults=False)
            self.assertEqual([], run.violations, f"seed {seed}")
            self.assertTrue(run.settled, f"seed {seed} left work behind")

    def test_faulty_planners_are_caught(self) -> None:
        """Guards against runs that pass whatever the planner does."""
        for variant in (
            _TrustsStops,
            _RepeatsUnanswered,
            _ForgetsPlacements,
            _GivesUpEarly,
        ):
            self.assertGreater(_violations(variant), 0, variant.__name__)

    def test_faulty_parts_are_caught(self) -> None:
        """Guards against a load that does not press on the rules."""

        def no_count(self: TrackedWorker, step: object, sign: int) -> None:
            return

        def any_order(self: Workflow, wall_now: float) -> object:
            return (
                ref
                for number in range(len(self.spec.steps))
                for ref in _waiting(self, number)
            )

        variants: list[_patch[object]] = [
            patch.object(TrackedWorker, "_add_to_totals", no_count),
            patch.object(Workflow, "ready_tasks", any_order),
        ]
        for variant in variants:
            with variant:
                self.assertGreater(_violations(Planner), 0, str(variant))


def _waiting(workflow: Workflow, step: int) -> list[object]:
    if workflow.ended:
        return []
    refs = [
        TaskRef(workflow.id, 0, step, index)
        for index in range(workflow.spec.steps[step].count)
    ]
    return [r for r in refs if workflow.task(r).state is TaskState.WAITING]
