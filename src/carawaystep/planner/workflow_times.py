"""Where the time of workflows went, from acceptance to published state."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from functools import reduce
from typing import TYPE_CHECKING

from carawaystep.planner.step_times import StepParts
from carawaystep.planner.step_times import StepTimes
from carawaystep.planner.wait_limit import WaitLimit
from carawaystep.workflow.run_end import RunEnd

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow
    from carawaystep.workflow.workflow_spec import WorkflowSpec

# A waiting step is examined no more often: a search looks at each worker.
_EXAMINE_INTERVAL_S = 0.25


@dataclass(slots=True)
class _Timeline:
    """Times of one workflow, monotonic seconds.

    :param accepted_at: acceptance by a front end, on the leader's clock
    :param considered_at: first placement pass that had the workflow
    :param last_end_at: when the last end of a run was reported
    :param steps: times of the steps that became ready, by number
    :param refused: limit that refused a step in the last pass, by number
    :param limits_s: seconds that a step waited, by limit
    :param fields: the line, but for what its publication adds
    """

    accepted_at: float
    considered_at: float
    last_end_at: float
    steps: dict[int, StepTimes] = field(default_factory=dict)
    refused: dict[int, _Refusal] = field(default_factory=dict)
    limits_s: dict[WaitLimit, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    fields: dict[str, str | int | float] = field(default_factory=dict)


@dataclass(slots=True)
class _Refusal:
    """Limit that keeps a step waiting.

    :param limit: limit that was found last
    :param since: since when its time is not counted yet
    :param found_at: when it was looked for last
    """

    limit: WaitLimit
    since: float
    found_at: float


class WorkflowTimes:
    """Writes one line for each settled workflow that says where time went.

    Long-running workflows, which have no end of their own, scheduled ones
    and those that ended before a placement pass reached them are left out.
    A new term knows nothing of the time before it, and counts that as
    admission.
    """

    def __init__(self, log: DecisionLog) -> None:
        """Create an empty record.

        :param log: receives the lines
        """
        self._log = log
        self._timelines: dict[str, _Timeline] = {}

    def record_pass(
        self, workflow: Workflow, now: float, wall_now: float
    ) -> None:
        """Record that a placement pass has reached a workflow.

        :param now: current time, seconds of a monotonic clock
        :param wall_now: current wall-clock time in seconds
        """
        spec = workflow.spec
        if workflow.id in self._timelines or not _is_timed(spec):
            return
        # Clocks of nodes differ.
        age_s = max(0.0, wall_now - spec.accepted_at_s)
        self._timelines[workflow.id] = _Timeline(now - age_s, now, now)

    def record_placement(
        self, workflow: Workflow, ref: TaskRef, now: float
    ) -> None:
        """Record the placement of a task."""
        timeline = self._timelines.get(workflow.id)
        if timeline is None:
            return
        step = _step_times(timeline, workflow, ref.step)
        step.placed_at = now

    def needs_limit(self, workflow: Workflow, step: int, now: float) -> bool:
        """Tell whether the limit of a waiting step is to be looked for.

        :param step: number of the step
        """
        timeline = self._timelines.get(workflow.id)
        if timeline is None:
            return False
        refusal = timeline.refused.get(step)
        if refusal is None or refusal.limit is WaitLimit.PASS_FULL:
            return True
        return now - refusal.found_at > _EXAMINE_INTERVAL_S

    def record_refused(
        self,
        workflow: Workflow,
        step: int,
        limit: WaitLimit | None,
        now: float,
    ) -> None:
        """Record that a pass left ready tasks of a step.

        :param step: number of the step
        :param limit: limit that refused them, None if it was not looked for
        """
        timeline = self._timelines.get(workflow.id)
        if timeline is None:
            return
        refusal = timeline.refused.get(step)
        if refusal is None:
            if limit is not None:
                timeline.refused[step] = _Refusal(limit, now, now)
            return
        timeline.limits_s[refusal.limit] += now - refusal.since
        refusal.since = now
        if limit is not None:
            refusal.limit = limit
            refusal.found_at = now

    def end_waits(
        self, workflow: Workflow, steps: Iterable[int], now: float
    ) -> None:
        """End the waits of all steps but the given ones.

        :param steps: numbers of the steps of which tasks still wait
        """
        timeline = self._timelines.get(workflow.id)
        if timeline is None:
            return
        for step in timeline.refused.keys() - set(steps):
            refusal = timeline.refused.pop(step)
            timeline.limits_s[refusal.limit] += now - refusal.since

    def record_sent(self, ref: TaskRef, now: float) -> None:
        """Record that a stored start is sent."""
        step = self._known_step(ref)
        if step is not None:
            step.sent_at = now

    def record_started(self, ref: TaskRef, now: float) -> None:
        """Record the first sign that a run has started."""
        step = self._known_step(ref)
        if step is not None:
            step.started_at = now

    def record_end(self, ref: TaskRef, end: RunEnd, now: float) -> None:
        """Record that the end of a run is reported."""
        timeline = self._timelines.get(ref.workflow)
        if timeline is None:
            return
        timeline.last_end_at = now
        step = timeline.steps.get(ref.step)
        if step is not None and end is RunEnd.DONE:
            step.done_at = now

    def record_settled(self, workflow: Workflow) -> None:
        """Prepare the line of a workflow that has settled."""
        timeline = self._timelines.get(workflow.id)
        if timeline is not None:
            timeline.fields = _fields(workflow, timeline)

    def record_published(
        self, workflow_ids: Iterable[str], now: float
    ) -> None:
        """Write the lines of workflows whose final states are published."""
        for workflow_id in workflow_ids:
            timeline = self._timelines.pop(workflow_id, None)
            if timeline is None or not timeline.fields:
                continue
            self._log.line(
                "workflow.timed",
                workflow_id,
                **timeline.fields,
                publish_s=now - timeline.last_end_at,
                total_s=now - timeline.accepted_at,
            )

    def _known_step(self, ref: TaskRef) -> StepTimes | None:
        timeline = self._timelines.get(ref.workflow)
        return None if timeline is None else timeline.steps.get(ref.step)


def _is_timed(spec: WorkflowSpec) -> bool:
    return not spec.long_running and not spec.scheduled


def _step_times(
    timeline: _Timeline, workflow: Workflow, number: int
) -> StepTimes:
    """Return the times of a step, which are kept from its first placement."""
    known = timeline.steps.get(number)
    if known is not None:
        return known
    step = workflow.spec.steps[number]
    ends = [
        timeline.steps[earlier].done_at or 0.0
        for earlier in step.after
        if earlier in timeline.steps
    ]
    ready_at = max(ends, default=timeline.considered_at)
    times = timeline.steps[number] = StepTimes(step.estimated_s, ready_at)
    return times


def _fields(
    workflow: Workflow, timeline: _Timeline
) -> dict[str, str | int | float]:
    spec = workflow.spec
    parts = {number: s.parts() for number, s in timeline.steps.items()}
    total = reduce(StepParts.plus, parts.values(), StepParts())
    longest = max(parts, key=lambda n: parts[n].total_s, default=0)
    took_s = timeline.last_end_at - timeline.accepted_at
    limits_s = timeline.limits_s
    ends = workflow.run_end_counts
    return {
        "queue": spec.queue,
        "priority": spec.priority,
        "state": workflow.state,
        "use": workflow.use_after(took_s).name.lower(),
        "tasks": workflow.task_count,
        "cpu": max(step.cpu_millis for step in spec.steps),
        "target_s": spec.target_duration_s,
        "admission_s": timeline.considered_at - timeline.accepted_at,
        "wait_s": total.wait_s,
        "store_s": total.store_s,
        "start_s": total.start_s,
        "run_s": total.run_s,
        "declared_s": total.declared_s,
        "longest_step": longest,
        "longest_step_s": parts[longest].total_s if parts else 0.0,
        "limit": max(limits_s, key=lambda n: limits_s[n], default=""),
        **{f"wait_{limit}_s": seconds for limit, seconds in limits_s.items()},
        "stopped": ends.get(RunEnd.STOPPED, 0),
        "failed": ends.get(RunEnd.FAILED, 0),
        "lost": workflow.lost_run_count,
    }
