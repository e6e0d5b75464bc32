"""Tests of the cancellations of workflows."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
from carawaystep.planner.cancellations import Cancellations
from carawaystep.planner.earlier_leases import EarlierLeases
from carawaystep.planner.immediate_orders import ImmediateOrders
from carawaystep.planner.run_stopper import RunStopper
from carawaystep.planner.worker_registry import WorkerRegistry
from carawaystep.planner.workflow_registry import WorkflowRegistry
from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.workflow_state import WorkflowState
from tests.planner.planners import LIMITS
from tests.planner.planners import RecordingLog
from tests.workflow.workflows import workflow_spec


class CancellationsTest(TestCase):
    """Cancellations of known and of unknown workflows."""

    def setUp(self) -> None:
        """Create the rules without workflows."""
        super().setUp()
        self.log = RecordingLog()
        self.registry = WorkflowRegistry()
        workers = WorkerRegistry(
            self.registry,
            LIMITS,
            EarlierLeases(LIMITS, 0.0),
            EvacuatedZones(in_force=False),
            0.0,
        )
        stopper = RunStopper(workers, ImmediateOrders(self.log))
        self.cancellations = Cancellations(self.registry, stopper, self.log)
        self.spec = workflow_spec(StepSpec(1))

    def test_early_cancellation_is_logged_once(self) -> None:
        """Guards against a line for each time that the row is read."""
        for _ in range(2):
            self.assertFalse(self.cancellations.cancel_or_keep(self.spec.id))
        self.assertEqual(
            [("cancellation.early", self.spec.id)], self.log.events
        )

    def test_early_cancellation_spares_other_workflows(self) -> None:
        """Guards against a cancellation of the wrong workflow."""
        self.cancellations.cancel_or_keep("f" * 16)
        workflow = self.registry.add(self.spec)
        self.cancellations.apply_early(workflow)
        self.assertEqual(WorkflowState.PENDING, workflow.state)

    def test_callers_cancellation_of_an_unknown_workflow_is_not_kept(
        self,
    ) -> None:
        """Guards against the cancellation of a workflow submitted later.

        The caller is told that the workflow does not exist.
        """
        self.assertFalse(self.cancellations.cancel(self.spec.id, "caller"))
        workflow = self.registry.add(self.spec)
        self.cancellations.apply_early(workflow)
        self.assertEqual(WorkflowState.PENDING, workflow.state)

    def test_settled_workflow_is_known_and_stays_as_it_is(self) -> None:
        """Guards against an unknown or cancelled workflow that is done."""
        self.registry.add_final_state(self.spec.id, WorkflowState.DONE)
        self.assertTrue(self.cancellations.cancel(self.spec.id, "caller"))
        self.assertEqual(WorkflowState.DONE, self.registry.state(self.spec.id))
        self.assertEqual([], self.log.events)
