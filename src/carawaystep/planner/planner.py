"""The planner aggregate: the workflows and workers of one term."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.availability_zone.evacuated_zones import EvacuatedZones
from carawaystep.fleet.order import PaceOrder
from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.planner.cancellations import Cancellations
from carawaystep.planner.changes import Changes
from carawaystep.planner.earlier_leases import EarlierLeases
from carawaystep.planner.evacuation_monitor import EvacuationMonitor
from carawaystep.planner.immediate_orders import ImmediateOrders
from carawaystep.planner.interference_guard import InterferenceGuard
from carawaystep.planner.interference_guard import REDUCED_PACE_PERCENT
from carawaystep.planner.leaving_workers import LeavingWorkers
from carawaystep.planner.lost_runs import LostRuns
from carawaystep.planner.reported_runs import ReportedRuns
from carawaystep.planner.room_forecaster import RoomForecaster
from carawaystep.planner.run_stopper import RunStopper
from carawaystep.planner.run_time_ratios import RunTimeRatios
from carawaystep.planner.short_work_reserve import NoReserve
from carawaystep.planner.task_placer import TaskPlacer
from carawaystep.planner.ticket_cache import TicketCache
from carawaystep.planner.waiting_task_monitor import WaitingTaskMonitor
from carawaystep.planner.worker_registry import WorkerRegistry
from carawaystep.planner.workflow_registry import WorkflowRegistry
from carawaystep.planner.workflow_times import WorkflowTimes
from carawaystep.planner.zone_ramp import ZoneRamp
from carawaystep.workflow.run_end import RunEnd

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from carawaystep.fleet.order import Order
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.fleet.worker_record import WorkerRecord
    from carawaystep.fleet.worker_report import WorkerReport
    from carawaystep.planner.advice_request import AdviceRequest
    from carawaystep.planner.contact_times import ContactTimes
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.planner.harm_statistics import HarmStatistics
    from carawaystep.planner.interference_model import InterferenceModel
    from carawaystep.planner.planner_limits import PlannerLimits
    from carawaystep.planner.room_forecast import RoomForecast
    from carawaystep.planner.short_work_reserve import WorkerReserve
    from carawaystep.planner.task_placement_policy import TaskPlacementPolicy
    from carawaystep.planner.waiting_order import WaitingOrder
    from carawaystep.routing.ticket_terms import TicketTerms
    from carawaystep.workflow.workflow import Workflow
    from carawaystep.workflow.workflow_record import WorkflowRecord
    from carawaystep.workflow.workflow_spec import WorkflowSpec
    from carawaystep.workflow.workflow_state import WorkflowState


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
        order: WaitingOrder | None = None,
        evacuated_zones: EvacuatedZones | None = None,
        reserve: WorkerReserve | None = None,
    ) -> None:
        """Create a planner without workflows and workers.

        :param limits: times after which runs count as lost
        :param placement: chooses workers
        :param interference: learns which images harm which
        :param log: receives a line for each decision
        :param now: current time, seconds of a monotonic clock
        :param order: order in which waiting workflows are placed, None for
            the one by urgency
        :param evacuated_zones: zones whose workers get no new work, None when
            there never are any
        :param reserve: keeps new long-running tasks off some workers, None
            to keep them off none
        """
        zones = evacuated_zones or EvacuatedZones(in_force=False)
        self._guard = InterferenceGuard(interference)
        self._log = log
        self._registry = WorkflowRegistry(order)
        self._earlier_leases = EarlierLeases(limits, now)
        self._workers = WorkerRegistry(
            self._registry, limits, self._earlier_leases, zones, now
        )
        self._zone_ramp = ZoneRamp(zones)
        self._evacuation_monitor = EvacuationMonitor(zones, log)
        self._immediate_orders = ImmediateOrders(log)
        self._ticket_cache = TicketCache(log)
        self._times = WorkflowTimes(log)
        self._task_placer = TaskPlacer(
            self._registry,
            placement,
            self._ticket_cache,
            self._immediate_orders,
            self._times,
            reserve or NoReserve(),
            log,
        )
        self._waiting_tasks = WaitingTaskMonitor(self._registry, log)
        self._stopper = RunStopper(self._workers, self._immediate_orders)
        self._lost_runs = LostRuns(
            self._registry, self._workers, self._stopper, log
        )
        run_times = RunTimeRatios()
        self._reported_runs = ReportedRuns(
            self._registry,
            self._workers,
            self._stopper,
            self._lost_runs,
            self._immediate_orders,
            self._times,
            log,
            run_times,
        )
        self._room_forecaster = RoomForecaster(self._registry, run_times)
        self._cancellations = Cancellations(self._registry, self._stopper, log)
        self._leaving_workers = LeavingWorkers(
            self._registry, self._workers, self._immediate_orders
        )
        self._changes = Changes()

    @property
    def workers(self) -> Mapping[WorkerKey, TrackedWorker]:
        """Return the workers that are listed or may still have runs."""
        return self._workers.workers

    @property
    def unlisted_worker_ids(self) -> set[str]:
        """Return the ids of workers with stored runs that are not listed."""
        return self._workers.unlisted_ids

    @property
    def earlier_leases(self) -> EarlierLeases:
        """Return what is known of leases that earlier leaders extended."""
        return self._earlier_leases

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
                self._workers.await_listing(task.worker)
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

    def forecast_room(self, now: float, wall_now: float) -> RoomForecast:
        """Return for how long there is no room for further submissions.

        :param now: current time, seconds of a monotonic clock
        :param wall_now: current wall-clock time in seconds
        """
        return self._room_forecaster.forecast(self._workers, now, wall_now)

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
        self._cancellations.apply_early(workflow)
        self._changes.states[spec.id] = workflow.state
        return True

    def cancel(self, workflow_id: str) -> bool:
        """Cancel a workflow at a caller's request.

        :returns: False when the workflow is unknown; True also when it has
            already ended
        """
        return self._cancellations.cancel(workflow_id, "caller")

    def fail(self, workflow_id: str, reason: str) -> None:
        """Fail a workflow that cannot go on, and stop its runs.

        :param reason: reason for the log
        """
        workflow = self._registry.get(workflow_id)
        if workflow is None or not workflow.fail():
            return
        self._log.line("workflow.failed", workflow_id, reason=reason)
        self._registry.mark_changed(workflow)
        self._stopper.stop_workflow(workflow, "workflow-ended")

    def apply_stored_cancellation(self, workflow_id: str) -> bool:
        """Cancel a workflow whose cancellation another process has stored.

        That of an unknown workflow takes effect when it is admitted.

        :returns: False when the workflow is unknown
        """
        return self._cancellations.cancel_or_keep(workflow_id)

    def update_worker_list(
        self, records: Iterable[WorkerRecord], now: float
    ) -> None:
        """Apply the current list of workers.

        A worker that is no longer listed stays while it may have runs.

        :param now: current time, seconds of a monotonic clock
        """
        for key in self._workers.update_list(records, now):
            self._guard.forget_worker(key)

    def handle_report(
        self, report: WorkerReport, now: float, fenced: bool = True
    ) -> None:
        """Apply a report that was fetched with this term's fencing token.

        A report of a lifetime that still accepts calls to an earlier one
        proves nothing: such a call may start a run after it.

        :param now: current time, seconds of a monotonic clock
        :param fenced: whether the lifetime refuses calls to earlier ones
        """
        if not fenced:
            self._log.line(
                "report.not_fenced",
                report.worker.id,
                born=report.worker.started_at_ms,
            )
            return
        self._workers.record_fenced(report.worker, now)
        self._lost_runs.drop_earlier_lifetimes(report.worker)
        worker = self._workers.get(report.worker)
        if worker is None:
            return
        worker.record_report(now, report.remaining_s is not None)
        for ended in report.ended:
            self._reported_runs.apply_end(worker, ended, now)
        if report.ended:
            self._changes.acknowledged[report.worker] = report.ended[-1].number
        self._reported_runs.apply_running(worker, report, now)
        self._protect_serving_tasks(worker, now)

    def handle_order_outcome(
        self, order: Order, outcome: OrderOutcome, now: float
    ) -> None:
        """Apply the outcome of an order.

        A start whose outcome is unknown may still be executed: it is stopped
        first, and requeued once the run has ended or cannot start any more.
        A pace is ordered again after an order that was not confirmed.

        :param now: current time, seconds of a monotonic clock
        """
        worker = self._workers.get(order.worker)
        if worker is None:
            return
        tracked = worker.runs.get(order.ref)
        if tracked is None or tracked.run != order.run:
            return
        if isinstance(order, StopOrder):
            if outcome is OrderOutcome.DONE:
                tracked.confirm_stop()
            return
        if isinstance(order, PaceOrder):
            if outcome is not OrderOutcome.DONE:
                tracked.pace_in_doubt = True
            if outcome is OrderOutcome.UNKNOWN:
                tracked.pace_unanswered_at = now
            return
        if not isinstance(order, StartOrder):
            return
        if outcome is OrderOutcome.DONE:
            if not tracked.confirmed:
                tracked.confirmed = True
                self._times.record_started(order.ref, now)
            if tracked.forced:
                self._immediate_orders.set_pace(
                    worker, order.ref, REDUCED_PACE_PERCENT, now
                )
        elif outcome.not_executed:
            if outcome is OrderOutcome.NOT_SENT:
                worker.health.suspend_after_unsent_order(now)
            elif outcome is OrderOutcome.NO_PERMIT:
                self._ticket_cache.discard_ticket(order.ref, order.worker)
            elif outcome is not OrderOutcome.FULL:
                worker.health.suspend_after_refusal(now)
            self._lost_runs.lose(worker, order.ref, order.run, outcome.value)
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
            tracked.discard_stop_confirmation()

    def set_predecessor_stop_time(self, at: float) -> None:
        """Set the time after which no leader of an earlier term acts.

        :param at: seconds of a monotonic clock; a later time than the known
            one is ignored
        """
        self._earlier_leases.set_predecessor_stop_time(at)

    def requeue_lost_runs(
        self, now: float, contact_times: ContactTimes
    ) -> None:
        """Requeue the runs of workers whose leases must have expired.

        :param now: current time, seconds of a monotonic clock
        :param contact_times: when the members that call the workers were
            last heard
        """
        self._lost_runs.lose_expired(now, contact_times)

    def clear_leaving_workers(self, now: float) -> None:
        """Stop long-running tasks on leaving workers if they fit elsewhere.

        :param now: current time, seconds of a monotonic clock
        """
        self._leaving_workers.stop_tasks(self._open_workers(now), now)

    def plan(self, now: float, wall_now: float) -> bool:
        """Place ready tasks, those of the most urgent workflows first.

        :param now: current time, seconds of a monotonic clock
        :param wall_now: current wall-clock time in seconds
        :returns: whether the limit of starts was reached, so that tasks may
            be left that fit
        """
        self._evacuation_monitor.check(self._workers, now)
        usable = self._open_workers(now)
        limited = self._task_placer.place_ready_tasks(usable, now, wall_now)
        self._waiting_tasks.check(usable, now, wall_now)
        return limited

    def should_send(self, order: StartOrder, now: float) -> bool:
        """Tell whether a stored start is still to be sent.

        The run may have been lost, its workflow cancelled, its ticket
        expired or the worker's availability zone evacuated meanwhile.

        :param now: current time, seconds of a monotonic clock
        """
        workflow = self._registry.get(order.ref.workflow)
        if workflow is None or workflow.ended:
            return False
        return (
            workflow.is_current_run(order.ref, order.run)
            and workflow.task(order.ref).worker == order.worker
            and self._ticket_cache.may_send(order, now)
            and self._zone_accepts_work(order.worker)
        )

    def record_sent(self, order: StartOrder, now: float) -> None:
        """Record that a stored start is sent.

        :param now: current time, seconds of a monotonic clock
        """
        self._times.record_sent(order.ref, now)

    def withdraw_start(self, order: Order) -> None:
        """Give up the run of a stored start that is not sent.

        No worker ever reports the end of such a run.
        """
        worker = self._workers.get(order.worker)
        if worker is None:
            return
        reason = "withdrawn"
        if not self._workers.accepts_work(worker):
            reason = "zone-evacuated"
        self._lost_runs.lose(worker, order.ref, order.run, reason)

    def take_harm_statistics(self) -> HarmStatistics:
        """Return the statistics of harm since the last call."""
        return self._guard.take_statistics()

    def retry_stops(self) -> None:
        """Repeat the stops of runs that have not ended yet."""
        self._stopper.repeat_stops()

    def take_immediate_orders(self) -> list[Order]:
        """Return new orders that may be sent without a commit."""
        return self._immediate_orders.take_orders()

    def set_ticket_terms(
        self, terms: Mapping[str, TicketTerms | None]
    ) -> None:
        """Set the terms of tickets in force.

        :param terms: by queue, None for one whose starts need no tickets
        """
        self._ticket_cache.set_terms(terms)

    def withdraw_advice_requests(
        self, requests: Iterable[AdviceRequest], now: float
    ) -> None:
        """Forget requests to the placement service that were not sent.

        :param now: current time, seconds of a monotonic clock
        """
        for request in requests:
            self._ticket_cache.withdraw_request(request, now)

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

    def record_published(self, changes: Changes, now: float) -> None:
        """Record that the states of a stored batch are published.

        :param now: current time, seconds of a monotonic clock
        """
        self._times.record_published(changes.settled, now)

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

    def _open_workers(self, now: float) -> list[TrackedWorker]:
        """Return the workers that may get new work."""
        return self._zone_ramp.open_workers(self._workers.usable(now), now)

    def _zone_accepts_work(self, key: WorkerKey) -> bool:
        worker = self._workers.get(key)
        return worker is None or self._workers.accepts_work(worker)

    def _log_settled(self, workflow: Workflow) -> None:
        self._times.record_settled(workflow)
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

    def _protect_serving_tasks(
        self, worker: TrackedWorker, now: float
    ) -> None:
        """Stop or slow the best-effort tasks that harm serving tasks."""
        for action in self._guard.process_report(worker, now):
            tracked = worker.runs[action.ref]
            if action.pace_percent is None:
                self._guard.record_moved(tracked, now)
                self._immediate_orders.stop(
                    worker, action.ref, tracked.run, "harms-a-serving-task"
                )
            else:
                self._immediate_orders.set_pace(
                    worker, action.ref, action.pace_percent, now
                )
