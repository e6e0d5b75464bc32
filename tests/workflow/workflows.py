"""Factories of workflows for tests."""

from __future__ import annotations

from carawaystep.workflow.step_spec import StepSpec
from carawaystep.workflow.workflow import Workflow
from carawaystep.workflow.workflow_spec import WorkflowSpec


def workflow_spec(*steps: StepSpec, **changes: object) -> WorkflowSpec:
    """Return a submission with the given steps.

    :param steps: steps, by default one with two tasks
    :param changes: other field values than the defaults, by field name
    """
    values: dict[str, object] = {
        "id": "5c0e7a21d94b36f8",
        "queue": "bookings",
        "service": "desk",
        "payload": "text",
        "steps": steps or (StepSpec(2, cpu_millis=1000, memory_mb=100),),
        "priority": 0,
        "max_attempts": 2,
        "stretch": 1.5,
        "objective_s": 0.25,
        "accepted_at_s": 1000.0,
    }
    return WorkflowSpec(**{**values, **changes})  # type: ignore[arg-type]


def workflow(*steps: StepSpec, **changes: object) -> Workflow:
    """Return a workflow of :func:`workflow_spec` that has not started."""
    return Workflow(workflow_spec(*steps, **changes))
