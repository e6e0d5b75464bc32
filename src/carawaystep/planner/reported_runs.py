"""What reports of workers say about runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.task_state import TaskState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.fleet.tracked_run import TrackedRun
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_report import EndedRun
    from carawaystep.fleet.worker_report import ReportedRun
    from carawaystep.fleet.worker_report import WorkerReport
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.planner.immediate_orders import ImmediateOrders
    from carawaystep.planner.lost_runs import LostRuns
    from carawaystep.planner.run_stopper import RunStopper
    from carawaystep.planner.run_time_ratios import RunTimeRatios
    from carawaystep.planner.worker_registry import WorkerRegistry
    from carawaystep.planner.workflow_registry import WorkflowRegistry
    from carawaystep.planner.workflow_times import WorkflowTimes
    from carawaystep.workflow.step_spec import StepSpec
    from carawaystep.workflow.task_ref import TaskRef


# A worker on which a long-running task was at work for this time is sound: the
# task has failed by itself.
_SOUND_AFTER_S = 3.0


class ReportedRuns:
    """Applies ended, running and missing runs to workflows and workers.

    A run that a report does not list is lost only when the report proves
    that it will never start. A report with truncated ends proves nothing
    about it: its end may be among those that are left out.
    """

    def __init__(
        self,
        registry: WorkflowRegistry,
        workers: WorkerRegistry,
        stopper: RunStopper,
        lost_runs: LostRuns,
        immediate_orders: ImmediateOrders,
        times: WorkflowTimes,
        log: DecisionLog,
        run_times: RunTimeRatios,
    ) -> None:
        """Create the rules of reported runs.

        :param registry: the workflows
        :param workers: the workers
        :param stopper: stops the runs of gangs and of ended workflows
        :param lost_runs: requeues runs that will never start
        :param immediate_orders: receives the stops of unexpected runs
        :param times: receives the starts and ends of runs
        :param log: receives a line for each end
        :param run_times: receives the run times of tasks that are done
        """
        self._registry = registry
        self._workers = workers
        self._stopper = stopper
        self._lost_runs = lost_runs
        self._immediate_orders = immediate_orders
        self._times = times
        self._log = log
        self._run_times = run_times

    def apply_end(
        self, worker: TrackedWorker, ended: EndedRun, now: float
    ) -> None:
        """Apply the end of a run.

        :param now: current time, seconds of a monotonic clock
        """
        ref, run, end = ended.ref, ended.run, ended.end
        tracked = worker.remove(ref, run)
        seconds = 0.0 if tracked is None else now - tracked.placed_at
        workflow = self._registry.get(ref.workflow)
        if workflow is None:
            return
        if not workflow.is_current_run(ref, run):
            return
        if workflow.task(ref).worker != worker.key:
            return
        gang_tasks = (
            workflow.step_tasks(ref) if workflow.step(ref).gang else []
        )
        workflow.end_run(ref, run, end, ended.checkpoint, now)
        self._times.record_end(ref, end, now)
        if end is RunEnd.DONE:
            worker.health.record_success()
            if tracked is not None and not tracked.inherited:
                self._run_times.record(
                    workflow.spec.queue, tracked.step.estimated_s, seconds
                )
        elif end is RunEnd.FAILED:
            self._record_failure(worker, ref, tracked, now)
        for gang_task in gang_tasks:
            if workflow.task(gang_task).state is TaskState.DONE:
                self._remove_from_all_workers(gang_task, run)
        self._stopper.stop_gang(workflow, ref)
        self._registry.mark_changed(workflow)
        self._log.line(
            "task.ended",
            str(ref),
            run=run,
            worker=worker.key.id,
            end=end,
            seconds=seconds,
        )
        if workflow.ended:
            self._stopper.stop_workflow(workflow, "workflow-ended")

    def _record_failure(
        self,
        worker: TrackedWorker,
        ref: TaskRef,
        tracked: TrackedRun | None,
        now: float,
    ) -> None:
        """Count a failed run against the worker, unless that was sound."""
        if tracked is not None and tracked.worked_s(now) >= _SOUND_AFTER_S:
            worker.health.record_success()
        elif worker.health.record_failure(ref.workflow, now):
            self._log.line("worker.suspended", worker.key.id, task=str(ref))

    def apply_running(
        self, worker: TrackedWorker, report: WorkerReport, now: float
    ) -> None:
        """Apply the runs that a report lists, and those that it does not.

        :param report: a report of the worker whose ends have been applied
        :param now: current time, seconds of a monotonic clock
        """
        unexpected = [
            item
            for item in report.running
            if not self._update(worker, item, now)
        ]
        worker.set_unexpected_runs(self._known_steps(unexpected))
        if report.ends_truncated:
            self._log.line(
                "report.truncated",
                worker.key.id,
                running=len(report.running),
                ends=len(report.ended),
            )
            return
        listed = {(item.ref, item.run) for item in report.running}
        self._resolve_in_doubt(worker, listed)
        self._resolve_inherited(worker, listed)

    def _update(
        self, worker: TrackedWorker, item: ReportedRun, now: float
    ) -> bool:
        """Apply the reported state of a run, and stop an unexpected one.

        An unexpected run was started by a late order after the planner had
        given it up.

        :returns: False when the run is unexpected
        """
        tracked = worker.runs.get(item.ref)
        workflow = self._registry.get(item.ref.workflow)
        if tracked is None or tracked.run != item.run or workflow is None:
            self._immediate_orders.stop_unexpected(worker, item.ref, item.run)
            return False
        tracked.progress_percent = item.progress_percent
        tracked.tail_ms_or_cpu_millis = item.tail_ms_or_cpu_millis
        tracked.record_progress(now)
        if not tracked.confirmed:
            tracked.confirmed = True
            self._times.record_started(item.ref, now)
        workflow.record_running(item.ref, item.run, item.checkpoint)
        if workflow.ended:
            self._immediate_orders.stop(
                worker, item.ref, item.run, "workflow-ended"
            )
        return True

    def _known_steps(self, items: Iterable[ReportedRun]) -> list[StepSpec]:
        """Return the steps of those runs whose workflows are known."""
        found = []
        for item in items:
            workflow = self._registry.get(item.ref.workflow)
            if (
                workflow is not None
                and workflow.find_task(item.ref) is not None
            ):
                found.append(workflow.step(item.ref))
        return found

    def _resolve_in_doubt(
        self, worker: TrackedWorker, listed: set[tuple[TaskRef, int]]
    ) -> None:
        """Requeue runs that a confirmed stop has kept from starting.

        :param listed: task and run number of all runs on the worker
        """
        for ref, tracked in list(worker.runs.items()):
            tracked.record_report((ref, tracked.run) in listed)
            if tracked.start_ruled_out:
                self._lost_runs.lose(
                    worker, ref, tracked.run, "stopped-before-start"
                )

    def _resolve_inherited(
        self, worker: TrackedWorker, listed: set[tuple[TaskRef, int]]
    ) -> None:
        """Requeue the inherited runs that do not exist, and keep the others.

        The worker now refuses starts with older tokens, so that a run of an
        earlier term that neither list of a complete report has will never
        start. A run in doubt was ordered in this term.

        :param listed: task and run number of all runs on the worker
        """
        for ref, tracked in list(worker.runs.items()):
            if not tracked.inherited or tracked.in_doubt:
                continue
            tracked.inherited = False
            if (ref, tracked.run) not in listed:
                self._lost_runs.lose(worker, ref, tracked.run, "not-started")

    def _remove_from_all_workers(self, ref: TaskRef, run: int) -> None:
        for worker in self._workers:
            worker.remove(ref, run)
