"""How long the steps of workflows wait for their placements."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Set

    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow

_StepKey = tuple[int, int]


class StepWaits:
    """Logs each step once, when all of its tasks have been placed."""

    def __init__(self, log: DecisionLog) -> None:
        """Create an empty record.

        :param log: receives a line for each step
        """
        self._log = log
        self._first_waits_s: dict[str, dict[_StepKey, float]] = {}
        self._logged: dict[str, set[_StepKey]] = {}

    def record_placement(
        self, workflow: Workflow, ref: TaskRef, wall_now: float
    ) -> None:
        """Record the placement of a task.

        :param wall_now: current wall-clock time in seconds
        """
        waited_s = wall_now - workflow.spec.begin_at_s(ref.occurrence)
        first_waits_s = self._first_waits_s.setdefault(workflow.id, {})
        first_waits_s.setdefault((ref.occurrence, ref.step), waited_s)

    def record_complete(
        self, workflow: Workflow, ref: TaskRef, wall_now: float
    ) -> None:
        """Log a step of which no task waits, unless it was logged before.

        :param ref: a task of the step whose placement was recorded
        :param wall_now: current wall-clock time in seconds
        """
        key = (ref.occurrence, ref.step)
        logged = self._logged.setdefault(workflow.id, set())
        if key in logged:
            return
        logged.add(key)
        step = workflow.step(ref)
        self._log.line(
            "step.placed",
            f"{ref.workflow}.{ref.occurrence}.{ref.step}",
            queue=workflow.spec.queue,
            tasks=step.count,
            cpu=step.cpu_millis,
            first_s=self._first_waits_s[workflow.id][key],
            last_s=wall_now - workflow.spec.begin_at_s(ref.occurrence),
            stage=workflow.urgency(wall_now).stage.name.lower(),
        )

    def forget_settled(self, unsettled: Set[str]) -> None:
        """Forget all workflows but the given ones.

        :param unsettled: ids of the workflows that are not settled
        """
        for workflow_id in self._first_waits_s.keys() - unsettled:
            del self._first_waits_s[workflow_id]
            self._logged.pop(workflow_id, None)
