"""The planner aggregate: workflows and workers of one term."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.fleet.held_run import HeldRun
from carawaystep.fleet.held_worker import HeldWorker
from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.order import StopOrder
from carawaystep.fleet.order_outcome import OrderOutcome
from carawaystep.planner.changes import Changes
from carawaystep.planner.eligibility import eligible
from carawaystep.planner.eligibility import with_room
from carawaystep.planner.harm_guard import HarmGuard
from carawaystep.planner.harm_guard import PRESSED_PACE
from carawaystep.planner.order_desk import OrderDesk
from carawaystep.planner.permits import Permits
from carawaystep.planner.task_feeder import TaskFeeder
from carawaystep.planner.workflow_book import WorkflowBook
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.task_state import TaskState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from carawaystep.fleet.order import Order
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.fleet.worker_offer import WorkerOffer
    from carawaystep.fleet.worker_report import EndedRun
    from carawaystep.fleet.worker_report import RunningTask
    from carawaystep.fleet.worker_report import WorkerReport
    from carawaystep.planner.advice_request import AdviceRequest
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.planner.interference import Interference
    from carawaystep.planner.planner_limits import PlannerLimits
    from carawaystep.planner.task_placement import TaskPlacement
    from carawaystep.workflow.step_spec import StepSpec
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow
    from carawaystep.workflow.workflow_record import WorkflowRecord
    from carawaystep.workflow.workflow_spec import WorkflowSpec
    from carawaystep.workflow.workflow_state import WorkflowState

# Reports without a run after its stop was confirmed that prove that it did
# not start.
_ABSENCES = 2

_NOT_DONE = frozenset(
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
    """Decides for all workflows and workers during one term of a leader.

    It is built from what is stored. A run that is stored as placed may
    exist until its worker has reported under this term's token or can no
    longer hold a lease; nothing is started before it is stored.
    """

    def __init__(
        self,
        limits: PlannerLimits,
        placement: TaskPlacement,
        interference: Interference,
        log: DecisionLog,
        now: float,
    ) -> None:
        """Create a planner without workflows and workers.

        :param limits: times after which runs count as lost
        :param placement: chooses workers
        :param interference: learns which images harm each other
        :param log: takes a line for each decision
        :param now: present time, seconds of a steady clock
        """
        self._limits = limits
        self._interference = interference
        self._guard = HarmGuard(interference)
        self._log = log
        self._began_at = now
        self._book = WorkflowBook()
        self._desk = OrderDesk(log)
        self._permits = Permits(log)
        self._feeder = TaskFeeder(
            self._book, placement, self._permits, self._desk, log
        )
        self._workers: dict[WorkerKey, HeldWorker] = {}
        # Lifetimes of which no earlier one is left, by id of the worker.
        self._newest: dict[str, WorkerKey] = {}
        # Workers of stored runs that no list or report has shown yet.
        self._missing: dict[WorkerKey, float] = {}
        self._next = Changes()

    @property
    def workers(self) -> Mapping[WorkerKey, HeldWorker]:
        """Return the workers that are listed or hold runs."""
        return self._workers

    @property
    def workflows(self) -> Mapping[str, Workflow]:
        """Return the workflows that are not settled."""
        return self._book.workflows

    @property
    def finals(self) -> Mapping[str, WorkflowState]:
        """Return the final states of settled workflows."""
        return self._book.finals

    def restore(
        self, spec: WorkflowSpec, record: WorkflowRecord | None
    ) -> None:
        """Take over a stored workflow at the start of the term."""
        workflow = self._book.add(spec)
        if record is not None:
            workflow.restore(record)
        for _, task in workflow.placed():
            if task.worker is not None:
                self._missing.setdefault(task.worker, self._began_at)
        if workflow.settled:
            self._book.touch(workflow)

    def restore_final(self, workflow_id: str, state: WorkflowState) -> None:
        """Take over the stored final state of a workflow."""
        self._book.add_final(workflow_id, state)

    def state(self, workflow_id: str) -> WorkflowState | None:
        """Return a workflow's state, None when it is not known."""
        return self._book.state(workflow_id)

    def queued(self) -> dict[str, int]:
        """Return the workflows that have not started, by queue."""
        return self._book.queued()

    def admit(self, spec: WorkflowSpec, stored: bool) -> bool:
        """Accept a workflow.

        :param spec: what the caller submitted
        :param stored: whether another process has stored it already
        :returns: False when it is known already
        """
        if self.state(spec.id) is not None:
            return False
        workflow = self._book.add(spec)
        if not stored:
            self._next.accepted.append(spec)
        self._next.states[spec.id] = workflow.state
        self._log.line("workflow.admitted", spec.id, queue=spec.queue)
        return True

    def cancel(self, workflow_id: str) -> bool:
        """Cancel a workflow.

        :returns: False when it is not known
        """
        if workflow_id in self._book.finals:
            return True
        workflow = self._book.get(workflow_id)
        if workflow is None:
            return False
        if workflow.cancel():
            self._book.touch(workflow)
            self._stop_all(workflow, "cancelled")
        return True

    def offer(self, offers: Iterable[WorkerOffer]) -> None:
        """Take the list of workers."""
        listed = {offer.key: offer for offer in offers}
        for key, offer in listed.items():
            worker = self._workers.get(key)
            if worker is None:
                self._meet(offer)
            else:
                worker.list_as(offer)
        for key, worker in list(self._workers.items()):
            if key not in listed:
                worker.unlist()
                if not worker.runs:
                    del self._workers[key]
                    self._interference.forget(key)

    def hear(self, report: WorkerReport, now: float) -> None:
        """Take a worker's report under this term's token."""
        self._forget_earlier(report.worker)
        worker = self._workers.get(report.worker)
        if worker is None:
            return
        first = worker.heard_at is None
        worker.hear(now, report.remaining_s is not None)
        for ended in report.ended:
            self._end(worker, ended, now)
        if report.ended:
            self._next.acknowledged[report.worker] = report.ended[-1].number
        seen = {(item.ref, item.run) for item in report.running}
        strays = [
            item for item in report.running if not self._see(worker, item)
        ]
        worker.note_strays(self._steps(strays))
        self._settle_doubts(worker, seen)
        for relief in self._guard.watch(worker, now):
            held = worker.runs[relief.ref]
            if relief.pace is None:
                self._desk.stop(
                    worker, relief.ref, held.run, "harms-a-serving-task"
                )
            else:
                self._desk.pace(worker, relief.ref, relief.pace, now)
        if first:
            # Older tokens are refused from now on: what is not listed was
            # never started.
            for ref, held in list(worker.runs.items()):
                if (ref, held.run) not in seen:
                    self._lose(worker, ref, held.run, "not-started")

    def conclude(
        self, order: Order, outcome: OrderOutcome, now: float
    ) -> None:
        """Take what became of an order."""
        worker = self._workers.get(order.worker)
        if worker is None:
            return
        held = worker.runs.get(order.ref)
        if held is None or held.run != order.run:
            return
        if isinstance(order, StopOrder):
            self._conclude_stop(held, outcome)
            return
        if not isinstance(order, StartOrder):
            return
        if outcome is OrderOutcome.DONE:
            if held.pressed:
                self._desk.pace(worker, order.ref, PRESSED_PACE, now)
        elif outcome in _NOT_DONE:
            if outcome is OrderOutcome.NOT_SENT:
                worker.health.pause_briefly(now)
            elif outcome is OrderOutcome.NO_PERMIT:
                self._permits.reject(order.ref, order.worker)
            elif outcome is not OrderOutcome.FULL:
                worker.health.pause(now)
            self._lose(worker, order.ref, order.run, outcome.value)
        elif outcome is OrderOutcome.UNKNOWN:
            worker.health.pause(now)
            held.in_doubt = True
            self._desk.stop(worker, order.ref, order.run, "start-unanswered")

    def reassigned(self, key: WorkerKey) -> None:
        """Note that another member calls a worker from now on.

        Its reports do not follow the confirmations of the earlier member.
        """
        worker = self._workers.get(key)
        if worker is None:
            return
        for held in worker.runs.values():
            held.absences = None

    def expire(self, now: float) -> None:
        """Requeue what was on workers that can no longer run it."""
        for key, since in list(self._missing.items()):
            if now - since > self._limits.takeover_lost_after_s:
                del self._missing[key]
                self._requeue_missing(key)
        for worker in list(self._workers.values()):
            heard_at = worker.heard_at
            if heard_at is None:
                deadline = self._began_at + self._limits.takeover_lost_after_s
            else:
                deadline = heard_at + self._limits.lost_after_s
            if now <= deadline:
                continue
            for ref, held in list(worker.runs.items()):
                self._lose(worker, ref, held.run, "lease-passed")

    def evacuate(self, now: float) -> None:
        """Move long-running tasks away from workers that are leaving."""
        usable = self._usable(now)
        for worker in self._workers.values():
            if not worker.leaving:
                continue
            for ref, held in list(worker.runs.items()):
                workflow = self._book.get(ref.workflow)
                if workflow is None or held.stopping:
                    continue
                if not held.step.long_running:
                    continue
                fitting = with_room(workflow, ref, usable, now)
                if any(eligible(workflow, ref, fitting, usable)):
                    self._desk.stop(worker, ref, held.run, "worker-leaving")

    def plan(self, now: float, wall_now: float) -> None:
        """Place tasks that are ready, the most urgent workflows first.

        :param now: present time, seconds of a steady clock
        :param wall_now: present wall-clock time in seconds
        """
        self._feeder.feed(self._usable(now), now, wall_now)

    def wants(self, order: Order) -> bool:
        """Tell whether a start is still to be sent once it is stored."""
        workflow = self._book.get(order.ref.workflow)
        if workflow is None or workflow.ended:
            return False
        return workflow.present_run(order.ref, order.run)

    def retry_stops(self) -> None:
        """Order again what should have stopped and still runs."""
        for worker in self._workers.values():
            if worker.heard_at is None or not worker.listed:
                continue
            for ref, held in worker.runs.items():
                if held.stopping:
                    self._desk.repeat_stop(worker, ref, held.run)

    def take_urgent(self) -> list[Order]:
        """Return orders that need nothing stored first."""
        return self._desk.take()

    def take_advice_requests(self) -> list[AdviceRequest]:
        """Return questions to the placement service."""
        return self._permits.take_requests()

    def advise(
        self,
        request: AdviceRequest,
        tickets: Mapping[str, str] | None,
        now: float,
    ) -> None:
        """Take an answer of the placement service.

        :param tickets: by id of the workers that may run the step; None
            when the service did not answer
        """
        self._permits.answer(request, tickets, now)

    def take_changes(self) -> Changes:
        """Return what has changed since the last call."""
        changes, self._next = self._next, Changes()
        changes.orders.extend(self._feeder.take_starts())
        self._book.move_changes(changes)
        for name in changes.ended:
            self._permits.forget(name)
        return changes

    def _usable(self, now: float) -> list[HeldWorker]:
        return [w for w in self._workers.values() if w.usable(now)]

    def _stop_gang(self, workflow: Workflow, ref: TaskRef) -> None:
        """Stop the others when one member of a gang has ended."""
        if workflow.step(ref).gang:
            for member in workflow.members(ref):
                self._stop(workflow, member, "gang-broken")

    def _end(
        self,
        worker: HeldWorker,
        ended: EndedRun,
        now: float,
    ) -> None:
        ref, run, end = ended.ref, ended.run, ended.end
        held = worker.remove(ref, run)
        seconds = 0.0 if held is None else now - held.placed_at
        workflow = self._book.get(ref.workflow)
        if workflow is None:
            return
        if not workflow.present_run(ref, run):
            return
        if workflow.task(ref).worker != worker.key:
            return
        members = workflow.members(ref) if workflow.step(ref).gang else []
        workflow.end_run(ref, run, end, ended.checkpoint)
        if end is RunEnd.DONE:
            worker.health.succeed()
        elif end is RunEnd.FAILED and worker.health.fail(ref.workflow, now):
            self._log.line("worker.suspended", worker.key.id, task=str(ref))
        for member in members:
            if workflow.task(member).state is TaskState.DONE:
                self._release_everywhere(member, run)
        self._stop_gang(workflow, ref)
        self._book.touch(workflow)
        self._log.line(
            "task.ended",
            str(ref),
            run=run,
            worker=worker.key.id,
            end=end,
            seconds=seconds,
        )
        if workflow.ended:
            self._stop_all(workflow, "workflow-ended")

    def _see(self, worker: HeldWorker, item: RunningTask) -> bool:
        """Take the row of a run; False for one that is not accounted for.

        A late order has started such a run after this planner gave it up.
        """
        held = worker.runs.get(item.ref)
        workflow = self._book.get(item.ref.workflow)
        if held is None or held.run != item.run or workflow is None:
            self._desk.stop_unexpected(worker, item.ref, item.run)
            return False
        held.percent = item.percent
        held.figure = item.figure
        workflow.see_running(item.ref, item.run, item.checkpoint)
        if workflow.ended:
            self._desk.stop(worker, item.ref, item.run, "workflow-ended")
        return True

    def _steps(self, items: Iterable[RunningTask]) -> list[StepSpec]:
        """Return the steps of runs whose workflows are known."""
        found = []
        for item in items:
            workflow = self._book.get(item.ref.workflow)
            if workflow is not None and workflow.find(item.ref) is not None:
                found.append(workflow.step(item.ref))
        return found

    def _stop(self, workflow: Workflow, ref: TaskRef, reason: str) -> None:
        """Have a task's present run stopped, if it has one."""
        task = workflow.task(ref)
        worker = (
            None if task.worker is None else self._workers.get(task.worker)
        )
        if worker is not None:
            self._desk.stop(worker, ref, task.run, reason)

    def _stop_all(self, workflow: Workflow, reason: str) -> None:
        for ref, _ in list(workflow.placed()):
            self._stop(workflow, ref, reason)

    def _conclude_stop(self, held: HeldRun, outcome: OrderOutcome) -> None:
        """Note that a stop was confirmed.

        A run that was there is listed among the ends once it has stopped;
        one that never arrived will now be refused.
        """
        if outcome is OrderOutcome.DONE and held.in_doubt:
            held.absences = held.absences or 0

    def _settle_doubts(
        self, worker: HeldWorker, seen: set[tuple[TaskRef, int]]
    ) -> None:
        """Give up runs that a confirmed stop kept from starting.

        The first report after the confirmation may have been taken before
        it; the second was asked for after the first had arrived.
        """
        for ref, held in list(worker.runs.items()):
            if held.absences is None:
                continue
            if (ref, held.run) in seen:
                held.absences = 0
                continue
            held.absences += 1
            if held.absences >= _ABSENCES:
                self._lose(worker, ref, held.run, "stopped-before-start")

    def _lose(
        self, worker: HeldWorker, ref: TaskRef, run: int, reason: str
    ) -> None:
        worker.remove(ref, run)
        workflow = self._book.get(ref.workflow)
        if workflow is None or not workflow.lose_run(ref, run):
            return
        self._stop_gang(workflow, ref)
        self._note_lost(workflow, ref, run, worker.key, reason)

    def _note_lost(
        self,
        workflow: Workflow,
        ref: TaskRef,
        run: int,
        key: WorkerKey,
        reason: str,
    ) -> None:
        self._book.touch(workflow)
        self._log.line(
            "task.lost", str(ref), run=run, worker=key.id, reason=reason
        )

    def _release_everywhere(self, ref: TaskRef, run: int) -> None:
        for worker in self._workers.values():
            worker.remove(ref, run)

    def _meet(self, offer: WorkerOffer) -> None:
        worker = HeldWorker(offer)
        self._workers[offer.key] = worker
        self._newest.pop(offer.key.id, None)
        self._missing.pop(offer.key, None)
        for workflow in self._book:
            for ref, task in workflow.placed():
                if task.worker == offer.key:
                    step = workflow.step(ref)
                    worker.add(
                        ref,
                        HeldRun(
                            task.run,
                            step,
                            workflow.spec.priority,
                            self._began_at,
                        ),
                    )

    def _forget_earlier(self, key: WorkerKey) -> None:
        """Requeue what was on an earlier lifetime of a worker."""
        if self._newest.get(key.id) == key:
            return
        self._newest[key.id] = key
        for earlier in list(self._workers):
            if earlier.id == key.id and earlier.born_ms < key.born_ms:
                worker = self._workers.pop(earlier)
                for ref, held in list(worker.runs.items()):
                    self._lose(worker, ref, held.run, "worker-restarted")
        for earlier in list(self._missing):
            if earlier.id == key.id and earlier.born_ms < key.born_ms:
                del self._missing[earlier]
                self._requeue_missing(earlier)

    def _requeue_missing(self, key: WorkerKey) -> None:
        for workflow in self._book:
            for ref, task in list(workflow.placed()):
                if task.worker == key:
                    run = task.run
                    workflow.lose_run(ref, run)
                    self._note_lost(workflow, ref, run, key, "worker-gone")
