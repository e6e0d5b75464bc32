"""The planner aggregate: the workflows and workers of one term."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.fleet.tracked_run import TrackedRun
from carawaystep.fleet.tracked_worker import TrackedWorker
from carawaystep.planner.changes import Changes
from carawaystep.planner.eligibility import eligible_workers
from carawaystep.planner.eligibility import workers_with_capacity
from carawaystep.planner.immediate_orders import ImmediateOrders
from carawaystep.planner.interference_guard import InterferenceGuard
from carawaystep.planner.interference_guard import REDUCED_PACE_PERCENT
from carawaystep.planner.task_placer import TaskPlacer
from carawaystep.planner.ticket_cache import TicketCache
from carawaystep.planner.waiting_task_monitor import WaitingTaskMonitor
from carawaystep.planner.workflow_registry import WorkflowRegistry
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.task_state import TaskState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from carawaystep.fleet.order import Order
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.fleet.worker_record import WorkerRecord
    from carawaystep.fleet.worker_report import EndedRun
    from carawaystep.fleet.worker_report import ReportedRun
    from carawaystep.fleet.worker_report import WorkerReport
    from carawaystep.planner.advice_request import AdviceRequest
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.planner.interference_model import InterferenceModel
    from carawaystep.planner.planner_limits import PlannerLimits
    from carawaystep.planner.task_placement_policy import TaskPlacementPolicy
    from carawaystep.workflow.step_spec import StepSpec
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow
    from carawaystep.workflow.workflow_record import WorkflowRecord
    from carawaystep.workflow.workflow_spec import WorkflowSpec
    from carawaystep.workflow.workflow_state import WorkflowState

# Consecutive reports without a run, after its stop was confirmed, that prove
# that it never started.
_REPORTS_TO_RULE_OUT_START = 2

# Outcomes with which the worker or the sender refused a start, so that it was
# not executed.
_NOT_EXECUTED = frozenset(
    {
        OrderOutcome.FULL,
        OrderOutcome.SUPERSEDED,
        OrderOutcome.FENCED,
        OrderOutcome.EXPIRED,
        OrderOutcome.NO_PERMIT,
        OrderOutcome.REFUSED,
        OrderOutcome.UNHEALTHY,
        OrderOutcome.OTHER_LIFETIME,
        OrderOutcome.NOT_SENT,
    }
)


class Planner:
    """Schedules all workflows on all workers during one term of a leader.

    It starts from the stored state. A run that is stored as placed may exist
    until its worker has answered a report call that carries the fencing token
    of this term, and so refuses lower ones, or until its lease must have
    expired. No start is sent before its placement is stored.
    """

    def __init__(
        self,
        limits: PlannerLimits,
        placement: TaskPlacementPolicy,
        interference: InterferenceModel,
        log: DecisionLog,
        now: float,
    ) -> None:
        """Create a planner without workflows and workers.

        :param limits: times after which runs count as lost
        :param placement: chooses workers
        :param interference: learns which images harm which
        :param log: receives a line for each decision
        :param now: current time, seconds of a monotonic clock
        """
        self._limits = limits
        self._interference = interference
        self._guard = InterferenceGuard(interference)
        self._log = log
        self._term_started_at = now
        self._registry = WorkflowRegistry()
        self._immediate_orders = ImmediateOrders(log)
        self._ticket_cache = TicketCache(log)
        self._task_placer = TaskPlacer(
            self._registry,
            placement,
            self._ticket_cache,
            self._immediate_orders,
            log,
        )
        self._waiting_tasks = WaitingTaskMonitor(self._registry, log)
        self._workers: dict[WorkerKey, TrackedWorker] = {}
        # Lifetime that sent the last report, by worker id; earlier lifetimes
        # of the worker have been dropped.
        self._last_reported_lifetimes: dict[str, WorkerKey] = {}
        # Workers that have stored runs but have not been listed in this term,
        # with the time at which the wait for them began. A report of a later
        # lifetime of the same worker also ends the wait.
        self._unlisted_workers: dict[WorkerKey, float] = {}
        # Workflows whose cancellation is stored but that are not known yet.
        self._early_cancellations: set[str] = set()
        self._changes = Changes()

    @property
    def workers(self) -> Mapping[WorkerKey, TrackedWorker]:
        """Return the workers that are listed or may still have runs."""
        return self._workers

    @property
    def workflows(self) -> Mapping[str, Workflow]:
        """Return the workflows that are not settled, by id."""
        return self._registry.workflows

    @property
    def final_states(self) -> Mapping[str, WorkflowState]:
        """Return the final states of settled workflows, by id."""
        return self._registry.final_states

    def restore(
        self, spec: WorkflowSpec, record: WorkflowRecord | None
    ) -> None:
        """Load a stored workflow at the start of the term.

        :param spec: stored submission
        :param record: stored progress, None when nothing has started
        """
        workflow = self._registry.add(spec)
        if record is not None:
            workflow.restore(record)
        for _, task in workflow.placed_tasks():
            if task.worker is not None:
                self._unlisted_workers.setdefault(
                    task.worker, self._term_started_at
                )
        if workflow.settled:
            self._registry.mark_changed(workflow)

    def restore_final(self, workflow_id: str, state: WorkflowState) -> None:
        """Load the stored final state of a settled workflow."""
        self._registry.add_final_state(workflow_id, state)

    def state(self, workflow_id: str) -> WorkflowState | None:
        """Return a workflow's state, None when it is unknown."""
        return self._registry.state(workflow_id)

    def count_queued(self) -> dict[str, int]:
        """Return the number of workflows that have not started, by queue."""
        return self._registry.count_queued()

    def admit(self, spec: WorkflowSpec, stored: bool) -> bool:
        """Accept a submitted workflow.

        :param spec: the submission
        :param stored: whether another process has stored it already
        :returns: False when its id is known already
        """
        if self.state(spec.id) is not None:
            return False
        workflow = self._registry.add(spec)
        if not stored:
            self._changes.accepted.append(spec)
        self._log.line(
            "workflow.admitted",
            spec.id,
            queue=spec.queue,
            tasks=workflow.task_count,
            target_s=spec.target_duration_s,
        )
        if spec.id in self._early_cancellations:
            self._early_cancellations.discard(spec.id)
            self._cancel_workflow(workflow, "stored-before-submission")
        self._changes.states[spec.id] = workflow.state
        return True

    def cancel(self, workflow_id: str) -> bool:
        """Cancel a workflow at a caller's request.

        :returns: False when the workflow is unknown; True also when it has
            already ended
        """
        return self._cancel_known(workflow_id, "caller")

    def apply_stored_cancellation(self, workflow_id: str) -> bool:
        """Cancel a workflow whose cancellation another process has stored.

        Submissions and cancellations are read by separate feeds, so the
        cancellation may be read first. That of an unknown workflow is kept
        and takes effect when the workflow is admitted.

        :returns: False when the workflow is unknown
        """
        if self._cancel_known(workflow_id, "store"):
            return True
        if workflow_id not in self._early_cancellations:
            self._early_cancellations.add(workflow_id)
            self._log.line("cancellation.early", workflow_id)
        return False

    def update_worker_list(self, records: Iterable[WorkerRecord]) -> None:
        """Apply the current list of workers.

        A worker that is no longer listed stays while it may have runs.
        """
        listed = {record.key: record for record in records}
        for key, record in listed.items():
            worker = self._workers.get(key)
            if worker is None:
                self._add_worker(record)
            else:
                worker.update_record(record)
        for key, worker in list(self._workers.items()):
            if key not in listed:
                worker.mark_unlisted()
                if not worker.runs:
                    del self._workers[key]
                    self._interference.forget_worker(key)

    def handle_report(self, report: WorkerReport, now: float) -> None:
        """Apply a report that was fetched with this term's fencing token.

        :param now: current time, seconds of a monotonic clock
        """
        self._drop_earlier_lifetimes(report.worker)
        worker = self._workers.get(report.worker)
        if worker is None:
            return
        first = worker.last_report_at is None
        worker.record_report(now, report.remaining_s is not None)
        for ended in report.ended:
            self._handle_run_end(worker, ended, now)
        if report.ended:
            self._changes.acknowledged[report.worker] = report.ended[-1].number
        reported_runs = {(item.ref, item.run) for item in report.running}
        unexpected = [
            item
            for item in report.running
            if not self._update_run(worker, item)
        ]
        worker.set_unexpected_runs(self._known_steps(unexpected))
        self._resolve_in_doubt_runs(worker, reported_runs)
        for action in self._guard.process_report(worker, now):
            tracked = worker.runs[action.ref]
            if action.pace_percent is None:
                self._immediate_orders.stop(
                    worker, action.ref, tracked.run, "harms-a-serving-task"
                )
            else:
                self._immediate_orders.set_pace(
                    worker, action.ref, action.pace_percent, now
                )
        if first:
            # The worker now refuses starts with older tokens, so that a run
            # that it does not list will never start.
            for ref, tracked in list(worker.runs.items()):
                if (ref, tracked.run) not in reported_runs:
                    self._lose_run(worker, ref, tracked.run, "not-started")

    def handle_order_outcome(
        self, order: Order, outcome: OrderOutcome, now: float
    ) -> None:
        """Apply the outcome of an order.

        A start whose outcome is unknown may still be executed: it is stopped
        first, and requeued once the run has ended or cannot start any more.

        :param now: current time, seconds of a monotonic clock
        """
        worker = self._workers.get(order.worker)
        if worker is None:
            return
        tracked = worker.runs.get(order.ref)
        if tracked is None or tracked.run != order.run:
            return
        if isinstance(order, StopOrder):
            self._handle_stop_outcome(tracked, outcome)
            return
        if not isinstance(order, StartOrder):
            return
        if outcome is OrderOutcome.DONE:
            if tracked.forced:
                self._immediate_orders.set_pace(
                    worker, order.ref, REDUCED_PACE_PERCENT, now
                )
        elif outcome in _NOT_EXECUTED:
            if outcome is OrderOutcome.NOT_SENT:
                worker.health.suspend_after_unsent_order(now)
            elif outcome is OrderOutcome.NO_PERMIT:
                self._ticket_cache.discard_ticket(order.ref, order.worker)
            elif outcome is not OrderOutcome.FULL:
                worker.health.suspend_after_refusal(now)
            self._lose_run(worker, order.ref, order.run, outcome.value)
        elif outcome is OrderOutcome.UNKNOWN:
            worker.health.suspend_after_refusal(now)
            tracked.in_doubt = True
            self._immediate_orders.stop(
                worker, order.ref, order.run, "start-unanswered"
            )

    def handle_reassignment(self, key: WorkerKey) -> None:
        """Discard confirmations of stops when another member takes over.

        A report through the new member may have been generated before a
        confirmation that came through the old one. The stops are repeated
        and have to be confirmed again.
        """
        worker = self._workers.get(key)
        if worker is None:
            return
        for tracked in worker.runs.values():
            tracked.reports_without_run = None

    def requeue_lost_runs(self, now: float) -> None:
        """Requeue the runs of workers whose leases must have expired.

        :param now: current time, seconds of a monotonic clock
        """
        for key, since in list(self._unlisted_workers.items()):
            if now - since > self._limits.takeover_lost_after_s:
                del self._unlisted_workers[key]
                self._requeue_unlisted_worker(key)
        for worker in list(self._workers.values()):
            last_report_at = worker.last_report_at
            if last_report_at is None:
                deadline = (
                    self._term_started_at + self._limits.takeover_lost_after_s
                )
            else:
                deadline = last_report_at + self._limits.lost_after_s
            if now <= deadline:
                continue
            for ref, tracked in list(worker.runs.items()):
                self._lose_run(worker, ref, tracked.run, "lease-passed")

    def evacuate(self, now: float) -> None:
        """Stop long-running tasks on leaving workers if they fit elsewhere.

        The limit ``max_unavailable`` of their step is not enforced.

        :param now: current time, seconds of a monotonic clock
        """
        usable = self._usable(now)
        for worker in self._workers.values():
            if not worker.leaving:
                continue
            for ref, tracked in list(worker.runs.items()):
                workflow = self._registry.get(ref.workflow)
                if workflow is None or tracked.stopping:
                    continue
                if not tracked.step.long_running:
                    continue
                with_capacity = workers_with_capacity(
                    workflow, ref, usable, now
                )
                if any(eligible_workers(workflow, ref, with_capacity, usable)):
                    self._immediate_orders.stop(
                        worker, ref, tracked.run, "worker-leaving"
                    )

    def plan(self, now: float, wall_now: float) -> None:
        """Place ready tasks, those of the most urgent workflows first.

        :param now: current time, seconds of a monotonic clock
        :param wall_now: current wall-clock time in seconds
        """
        usable = self._usable(now)
        self._task_placer.place_ready_tasks(usable, now, wall_now)
        self._waiting_tasks.check(usable, now, wall_now)

    def should_send(self, order: Order) -> bool:
        """Tell whether a stored start is still to be sent.

        The run may have been lost or its workflow cancelled meanwhile.
        """
        workflow = self._registry.get(order.ref.workflow)
        if workflow is None or workflow.ended:
            return False
        return workflow.is_current_run(order.ref, order.run)

    def withdraw_start(self, order: Order) -> None:
        """Give up the run of a stored start that is not sent.

        No worker ever reports the end of such a run.
        """
        worker = self._workers.get(order.worker)
        if worker is not None:
            self._lose_run(worker, order.ref, order.run, "withdrawn")

    def retry_stops(self) -> None:
        """Repeat the stops of runs that have not ended yet.

        A worker that is not listed may still work; its runs count as lost
        once it has not reported for long enough.
        """
        for worker in self._workers.values():
            if worker.last_report_at is None:
                continue
            for ref, tracked in worker.runs.items():
                if tracked.stopping:
                    self._immediate_orders.repeat_stop(
                        worker, ref, tracked.run
                    )

    def take_immediate_orders(self) -> list[Order]:
        """Return new orders that may be sent without a commit."""
        return self._immediate_orders.take_orders()

    def take_advice_requests(self) -> list[AdviceRequest]:
        """Return new requests to the placement service."""
        return self._ticket_cache.take_requests()

    def handle_advice(
        self,
        request: AdviceRequest,
        tickets: Mapping[str, str] | None,
        now: float,
    ) -> None:
        """Apply an answer of the placement service.

        :param request: request that was answered
        :param tickets: by id of the workers that may run the step; None
            when the service did not answer
        :param now: current time, seconds of a monotonic clock
        """
        self._ticket_cache.record_answer(request, tickets, now)

    def take_changes(self) -> Changes:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, Changes()
        changes.orders.extend(self._task_placer.take_starts())
        for workflow in self._registry.settled_changes():
            self._log_settled(workflow)
        self._registry.move_changes_to(changes)
        for workflow_id in changes.settled:
            self._ticket_cache.forget_workflow(workflow_id)
        return changes

    def _cancel_known(self, workflow_id: str, source: str) -> bool:
        """Cancel a workflow; return False when it is unknown.

        :param source: where the cancellation comes from, for the log
        """
        if workflow_id in self._registry.final_states:
            return True
        workflow = self._registry.get(workflow_id)
        if workflow is None:
            return False
        self._cancel_workflow(workflow, source)
        return True

    def _cancel_workflow(self, workflow: Workflow, source: str) -> None:
        if not workflow.cancel():
            return
        self._log.line("workflow.cancelled", workflow.id, source=source)
        self._registry.mark_changed(workflow)
        self._stop_workflow(workflow, "cancelled")

    def _log_settled(self, workflow: Workflow) -> None:
        counts = workflow.run_end_counts
        self._log.line(
            "workflow.settled",
            workflow.id,
            state=workflow.state,
            tasks=workflow.task_count,
            done=counts.get(RunEnd.DONE, 0),
            failed=counts.get(RunEnd.FAILED, 0),
            stopped=counts.get(RunEnd.STOPPED, 0),
            lost=workflow.lost_run_count,
        )

    def _usable(self, now: float) -> list[TrackedWorker]:
        return [w for w in self._workers.values() if w.usable(now)]

    def _stop_gang(self, workflow: Workflow, ref: TaskRef) -> None:
        """Stop the other tasks of a gang when a run of one ended or was lost.

        Does nothing for a task that is not in a gang.
        """
        if workflow.step(ref).gang:
            for sibling in workflow.step_tasks(ref):
                self._stop_run(workflow, sibling, "gang-broken")

    def _handle_run_end(
        self,
        worker: TrackedWorker,
        ended: EndedRun,
        now: float,
    ) -> None:
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
        workflow.end_run(ref, run, end, ended.checkpoint)
        if end is RunEnd.DONE:
            worker.health.record_success()
        elif end is RunEnd.FAILED and worker.health.record_failure(
            ref.workflow, now
        ):
            self._log.line("worker.suspended", worker.key.id, task=str(ref))
        for gang_task in gang_tasks:
            if workflow.task(gang_task).state is TaskState.DONE:
                self._remove_from_all_workers(gang_task, run)
        self._stop_gang(workflow, ref)
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
            self._stop_workflow(workflow, "workflow-ended")

    def _update_run(self, worker: TrackedWorker, item: ReportedRun) -> bool:
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

    def _stop_run(self, workflow: Workflow, ref: TaskRef, reason: str) -> None:
        """Stop a task's current run, if it has one."""
        task = workflow.task(ref)
        worker = (
            None if task.worker is None else self._workers.get(task.worker)
        )
        if worker is not None:
            self._immediate_orders.stop(worker, ref, task.run, reason)

    def _stop_workflow(self, workflow: Workflow, reason: str) -> None:
        for ref, _ in list(workflow.placed_tasks()):
            self._stop_run(workflow, ref, reason)

    def _handle_stop_outcome(
        self, tracked: TrackedRun, outcome: OrderOutcome
    ) -> None:
        """Count reports without a run in doubt once its stop is confirmed.

        If the run had started, the worker reports its end. If not, the
        worker now refuses the start.
        """
        if outcome is OrderOutcome.DONE and tracked.in_doubt:
            tracked.reports_without_run = tracked.reports_without_run or 0

    def _resolve_in_doubt_runs(
        self, worker: TrackedWorker, reported_runs: set[tuple[TaskRef, int]]
    ) -> None:
        """Requeue runs that a confirmed stop has kept from starting.

        The first report after the confirmation may have been generated
        before it. The second was requested after the first had arrived, so
        that it is conclusive.
        """
        for ref, tracked in list(worker.runs.items()):
            if tracked.reports_without_run is None:
                continue
            if (ref, tracked.run) in reported_runs:
                tracked.reports_without_run = 0
                continue
            tracked.reports_without_run += 1
            if tracked.reports_without_run >= _REPORTS_TO_RULE_OUT_START:
                self._lose_run(
                    worker, ref, tracked.run, "stopped-before-start"
                )

    def _lose_run(
        self, worker: TrackedWorker, ref: TaskRef, run: int, reason: str
    ) -> None:
        worker.remove(ref, run)
        workflow = self._registry.get(ref.workflow)
        if workflow is not None:
            self._requeue_run(workflow, ref, run, worker.key, reason)

    def _requeue_run(
        self,
        workflow: Workflow,
        ref: TaskRef,
        run: int,
        key: WorkerKey,
        reason: str,
    ) -> None:
        """Requeue a task whose run can no longer exist, and stop its gang.

        Does nothing when the run is not the current one.
        """
        if not workflow.lose_run(ref, run):
            return
        self._stop_gang(workflow, ref)
        self._registry.mark_changed(workflow)
        self._log.line(
            "task.lost", str(ref), run=run, worker=key.id, reason=reason
        )

    def _remove_from_all_workers(self, ref: TaskRef, run: int) -> None:
        for worker in self._workers.values():
            worker.remove(ref, run)

    def _add_worker(self, record: WorkerRecord) -> None:
        worker = TrackedWorker(record)
        self._workers[record.key] = worker
        # Without an entry, the next report checks again for earlier lifetimes
        # to drop; the added worker may be one.
        self._last_reported_lifetimes.pop(record.key.id, None)
        self._unlisted_workers.pop(record.key, None)
        for workflow in self._registry:
            for ref, task in workflow.placed_tasks():
                if task.worker == record.key:
                    step = workflow.step(ref)
                    worker.add(
                        ref,
                        TrackedRun(
                            task.run,
                            step,
                            workflow.spec.priority,
                            self._term_started_at,
                        ),
                    )

    def _drop_earlier_lifetimes(self, key: WorkerKey) -> None:
        """Requeue the runs of earlier lifetimes of a restarted worker."""
        if self._last_reported_lifetimes.get(key.id) == key:
            return
        self._last_reported_lifetimes[key.id] = key
        for earlier in list(self._workers):
            if (
                earlier.id == key.id
                and earlier.started_at_ms < key.started_at_ms
            ):
                worker = self._workers.pop(earlier)
                for ref, tracked in list(worker.runs.items()):
                    self._lose_run(
                        worker, ref, tracked.run, "worker-restarted"
                    )
        for earlier in list(self._unlisted_workers):
            if (
                earlier.id == key.id
                and earlier.started_at_ms < key.started_at_ms
            ):
                del self._unlisted_workers[earlier]
                self._requeue_unlisted_worker(earlier)

    def _requeue_unlisted_worker(self, key: WorkerKey) -> None:
        for workflow in self._registry:
            for ref, task in list(workflow.placed_tasks()):
                if task.worker == key:
                    self._requeue_run(
                        workflow, ref, task.run, key, "worker-gone"
                    )
