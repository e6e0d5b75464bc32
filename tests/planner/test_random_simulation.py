"""Randomized simulations, and faulty planners that they must detect."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
from unittest.mock import patch

import msgspec
from testtools import TestCase

from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.tracked_worker import TrackedWorker
from carawaystep.planner.planner import Planner
from carawaystep.workflow.task_ref import TaskRef
from carawaystep.workflow.task_state import TaskState
from carawaystep.workflow.workflow import Workflow
from tests.planner.planners import no_contacts
from tests.planner.random_simulation import RandomSimulation
from tests.planner.simulated_worker import LEASE_S

if TYPE_CHECKING:
    from unittest.mock import _patch

    from carawaystep.fleet.order import Order
    from carawaystep.fleet.worker_report import WorkerReport
    from carawaystep.planner.contact_times import ContactTimes
    from carawaystep.workflow.workflow_record import WorkflowRecord
    from carawaystep.workflow.workflow_spec import WorkflowSpec

_SEEDS = range(12)
# With truncated lists of ends, each change of the leader is a case.
_TRUNCATION_SEEDS = range(4)
_FAULT_PHASE_S = 40.0
_FAULT_FREE_PHASE_S = 60.0


class _RequeuesOnStopConfirmation(Planner):
    """Treats the confirmation of a stop as the end of the run."""

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
            self._lost_runs.lose(
                worker, order.ref, order.run, "stop-confirmed"
            )


class _RequeuesUnansweredStarts(Planner):
    """Treats an unanswered start as one that was not executed."""

    def handle_order_outcome(
        self, order: Order, outcome: OrderOutcome, now: float
    ) -> None:
        if outcome is OrderOutcome.UNKNOWN:
            outcome = OrderOutcome.NOT_SENT
        super().handle_order_outcome(order, outcome, now)


class _IgnoresStoredPlacements(Planner):
    """Starts a term as if no stored run could still exist."""

    def restore(
        self, spec: WorkflowSpec, record: WorkflowRecord | None
    ) -> None:
        super().restore(spec, record)
        workflow = self.workflows[spec.id]
        for ref, task in list(workflow.placed_tasks()):
            workflow.lose_run(ref, task.run)


class _RequeuesBeforeLeaseEnd(Planner):
    """Requeues the runs of a silent worker before its lease has expired."""

    def requeue_lost_runs(
        self, now: float, contact_times: ContactTimes
    ) -> None:
        super().requeue_lost_runs(now + 6.0, contact_times)


class _IgnoresContactWithMembers(Planner):
    """Counts from a worker's last report although reports may be missing."""

    def requeue_lost_runs(
        self, now: float, contact_times: ContactTimes
    ) -> None:
        super().requeue_lost_runs(now, no_contacts)


class _IgnoresPredecessors(Planner):
    """Assumes that earlier leaders extend no lease after the takeover."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        super().set_predecessor_stop_time(args[-1])


class _IgnoresLastLeasesOfPredecessors(Planner):
    """Requeues as soon as no earlier leader can extend a lease any more."""

    def set_predecessor_stop_time(self, at: float) -> None:
        super().set_predecessor_stop_time(at - LEASE_S)


class _TrustsTruncatedReports(Planner):
    """Takes the listed ends of a worker for all its ends."""

    def handle_report(self, report: WorkerReport, now: float) -> None:
        complete = msgspec.structs.replace(report, ends_truncated=False)
        super().handle_report(complete, now)


def _count_violations(
    planner: type[Planner],
    seeds: range = _SEEDS,
    ends_per_report: int = 500,
) -> int:
    found = 0
    for seed in seeds:
        simulation = RandomSimulation(
            seed, planner, ends_per_report=ends_per_report
        )
        try:
            simulation.advance(_FAULT_PHASE_S, faults=True)
        except BrokenInvariant:
            found += 1
        found += len(simulation.violations)
    return found


class RandomSimulationTest(TestCase):
    """Invariants under losses of leaders, workers, orders and answers."""

    def test_invariants_hold_and_all_work_ends(self) -> None:
        """Guards against violated invariants and work that never ends.

        The invariants exclude duplicate runs, starts in the wrong order and
        overcommitted workers.
        """
        for seed in _SEEDS:
            simulation = RandomSimulation(seed)
            simulation.advance(_FAULT_PHASE_S, faults=True)
            simulation.advance(_FAULT_FREE_PHASE_S, faults=False)
            self.assertEqual([], simulation.violations, f"seed {seed}")
            self.assertTrue(
                simulation.settled, f"seed {seed} has unfinished work"
            )

    def test_invariants_hold_with_truncated_lists_of_ends(self) -> None:
        """Guards against conclusions from ends that a report leaves out."""
        for seed in _TRUNCATION_SEEDS:
            simulation = RandomSimulation(seed, ends_per_report=1)
            simulation.advance(_FAULT_PHASE_S, faults=True)
            simulation.advance(_FAULT_FREE_PHASE_S, faults=False)
            self.assertEqual([], simulation.violations, f"seed {seed}")
            self.assertTrue(
                simulation.settled, f"seed {seed} has unfinished work"
            )

    def test_trust_in_truncated_lists_of_ends_is_detected(self) -> None:
        """Guards against simulations without truncated lists."""
        found = _count_violations(
            _TrustsTruncatedReports, _TRUNCATION_SEEDS, ends_per_report=1
        )
        self.assertGreater(found, 0)

    def test_faulty_planners_are_detected(self) -> None:
        """Guards against simulations that pass with a faulty planner."""
        for variant in (
            _RequeuesOnStopConfirmation,
            _RequeuesUnansweredStarts,
            _IgnoresStoredPlacements,
            _RequeuesBeforeLeaseEnd,
            _IgnoresContactWithMembers,
            _IgnoresPredecessors,
            _IgnoresLastLeasesOfPredecessors,
        ):
            self.assertGreater(_count_violations(variant), 0, variant.__name__)

    def test_faulty_parts_are_detected(self) -> None:
        """Guards against a load too light to violate the invariants."""

        def skip_totals(self: TrackedWorker, step: object, sign: int) -> None:
            return

        def ignore_dependencies(self: Workflow, wall_now: float) -> object:
            return (
                ref
                for number in range(len(self.spec.steps))
                for ref in _waiting_tasks(self, number)
            )

        variants: list[_patch[object]] = [
            patch.object(TrackedWorker, "_add_to_totals", skip_totals),
            patch.object(Workflow, "ready_tasks", ignore_dependencies),
        ]
        for variant in variants:
            with variant:
                self.assertGreater(_count_violations(Planner), 0, str(variant))


def _waiting_tasks(workflow: Workflow, step: int) -> list[object]:
    if workflow.ended:
        return []
    refs = [
        TaskRef(workflow.id, 0, step, index)
        for index in range(workflow.spec.steps[step].count)
    ]
    return [r for r in refs if workflow.task(r).state is TaskState.WAITING]
