"""Placement of ready tasks on workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.fleet.order import StartOrder
from carawaystep.fleet.tracked_run import TrackedRun
from carawaystep.planner.candidate_search import CandidateSearch
from carawaystep.planner.held_workers import HeldWorkers
from carawaystep.planner.interference_guard import REDUCED_PACE_PERCENT
from carawaystep.planner.step_waits import StepWaits
from carawaystep.planner.wait_limit import find_wait_limit
from carawaystep.planner.wait_limit import WaitLimit
from carawaystep.workflow.urgency import UrgencyStage

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.planner.candidate_ranking import CandidateRanking
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.planner.immediate_orders import ImmediateOrders
    from carawaystep.planner.short_work_reserve import WorkerReserve
    from carawaystep.planner.task_placement_policy import TaskPlacementPolicy
    from carawaystep.planner.ticket_cache import TicketCache
    from carawaystep.planner.workflow_registry import WorkflowRegistry
    from carawaystep.planner.workflow_times import WorkflowTimes
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow

_StepKey = tuple[int, int]

# A workflow without any run for this time is placed even where it likely
# harms other tasks; there it runs at a reduced pace.
_FORCE_AFTER_S = 1.5

# A pass that has placed this many tasks ends. On the weakest machines a
# longer one delays heartbeats noticeably.
MAX_STARTS_PER_PASS = 48


class TaskPlacer:
    """Places ready tasks on workers, those of urgent workflows first.

    Collects the start orders; none may be sent before its placement is
    stored.
    """

    def __init__(
        self,
        registry: WorkflowRegistry,
        placement: TaskPlacementPolicy,
        ticket_cache: TicketCache,
        immediate_orders: ImmediateOrders,
        times: WorkflowTimes,
        reserve: WorkerReserve,
        log: DecisionLog,
    ) -> None:
        """Create a placer without start orders.

        :param registry: the workflows
        :param placement: chooses workers
        :param ticket_cache: keeps the tickets of the placement service
        :param immediate_orders: receives the stops of preempted runs
        :param times: receives the placements, and the limits of waiting steps
        :param reserve: keeps new long-running tasks off some workers
        :param log: receives a line for each placement
        """
        self._registry = registry
        self._placement = placement
        self._ticket_cache = ticket_cache
        self._immediate_orders = immediate_orders
        self._times = times
        self._reserve = reserve
        self._log = log
        self._step_waits = StepWaits(log)
        self._unplaced_since: dict[str, float] = {}
        self._starts: list[StartOrder] = []
        # Number of collected starts at which the current pass ends.
        self._pass_limit = MAX_STARTS_PER_PASS

    def take_starts(self) -> list[StartOrder]:
        """Return the start orders of placements since the last call."""
        starts, self._starts = self._starts, []
        return starts

    def place_ready_tasks(
        self, usable: list[TrackedWorker], now: float, wall_now: float
    ) -> bool:
        """Place ready tasks, and preempt runs where none fits.

        One pass places a limited number of tasks, so that the process gets
        to its other work between two passes.

        :param usable: workers that may get new work
        :param now: current time, seconds of a monotonic clock
        :param wall_now: current wall-clock time in seconds
        :returns: whether the limit has ended the pass
        """
        self._pass_limit = len(self._starts) + MAX_STARTS_PER_PASS
        held = HeldWorkers(usable)
        kept = self._reserve.begin_pass(usable, wall_now)
        # What a search in vain shows holds for its set of workers only.
        searches = {
            applies: CandidateSearch(self._placement, self._ticket_cache, now)
            for applies in (False, True)
        }
        for workflow in self._registry.awaiting_placement(wall_now):
            if self._is_pass_full:
                break
            self._times.record_pass(workflow, now, wall_now)
            self._reserve.record(workflow, wall_now)
            workers = kept.open_to(workflow, held.open_to(workflow))
            search = searches[kept.applies_to(workflow)]
            unplaced = self._place_workflow(
                workflow, workers, search, now, wall_now
            )
            self._record_waits(workflow, unplaced, usable, workers, now)
            # Tasks that wait for a ticket hold no workers.
            holds = not self._ticket_cache.needs_tickets(workflow)
            if unplaced and holds and not self._is_pass_full:
                stage = workflow.urgency(wall_now).stage
                _hold_workers(held, workflow, stage, unplaced, workers)
            if not unplaced and not workflow.spec.scheduled:
                self._registry.mark_placed(workflow)
            if not unplaced or workflow.has_placed_tasks:
                self._unplaced_since.pop(workflow.id, None)
            else:
                self._unplaced_since.setdefault(workflow.id, now)
        self._step_waits.forget_settled(self._registry.workflows.keys())
        for workflow_id in (
            self._unplaced_since.keys() - self._registry.workflows.keys()
        ):
            del self._unplaced_since[workflow_id]
        return self._is_pass_full

    @property
    def _is_pass_full(self) -> bool:
        return len(self._starts) >= self._pass_limit

    def _record_waits(
        self,
        workflow: Workflow,
        unplaced: dict[_StepKey, list[TaskRef]],
        usable: list[TrackedWorker],
        workers: list[TrackedWorker],
        now: float,
    ) -> None:
        """Record which limits refused the tasks that a pass did not place.

        :param usable: workers that may get new work
        :param workers: those that the workflow may use
        """
        for (_, step), refs in unplaced.items():
            limit = None
            if self._is_pass_full:
                limit = WaitLimit.PASS_FULL
            elif self._ticket_cache.needs_tickets(workflow):
                limit = WaitLimit.TICKET
            elif self._times.needs_limit(workflow, step, now):
                limit = find_wait_limit(workflow, refs[0], usable, workers)
            self._times.record_refused(workflow, step, limit, now)
        waiting_steps = [step for _, step in unplaced]
        self._times.end_waits(workflow, waiting_steps, now)

    def _place_workflow(
        self,
        workflow: Workflow,
        usable: list[TrackedWorker],
        search: CandidateSearch,
        now: float,
        wall_now: float,
    ) -> dict[_StepKey, list[TaskRef]]:
        """Place a workflow's ready tasks.

        :returns: tasks that did not fit, or were left to the next pass, by
            occurrence and step
        """
        unplaced: dict[_StepKey, list[TaskRef]] = {}
        blocked: set[_StepKey] = set()
        last_placed: dict[_StepKey, TaskRef] = {}
        rankings: dict[_StepKey, CandidateRanking] = {}
        needs_tickets = self._ticket_cache.needs_tickets(workflow)
        for ref in list(workflow.ready_tasks(wall_now)):
            step_key = (ref.occurrence, ref.step)
            if step_key in blocked or self._is_pass_full:
                unplaced.setdefault(step_key, []).append(ref)
                continue
            if workflow.step(ref).gang:
                placed = self._place_gang(workflow, ref, usable, search, now)
            else:
                if step_key not in rankings or needs_tickets:
                    rankings[step_key] = search.rank(workflow, ref, usable)
                placed = self._place_task(
                    workflow, ref, rankings[step_key], usable, search, now
                )
            if placed:
                last_placed[step_key] = ref
                self._step_waits.record_placement(workflow, ref, wall_now)
                continue
            unplaced.setdefault(step_key, []).append(ref)
            # A worker that a task only avoids may be the place of the next
            # one. A ranking for tickets leaves it out.
            ranking = rankings.get(step_key)
            may_avoid = ranking is not None and (ranking or needs_tickets)
            if not (may_avoid and workflow.task(ref).failed_on):
                blocked.add(step_key)
        for step_key, ref in last_placed.items():
            if step_key not in unplaced:
                self._step_waits.record_complete(workflow, ref, wall_now)
        return unplaced

    def _place_task(
        self,
        workflow: Workflow,
        ref: TaskRef,
        ranking: CandidateRanking,
        usable: list[TrackedWorker],
        search: CandidateSearch,
        now: float,
    ) -> bool:
        worker = ranking.take(workflow.task(ref).failed_on)
        if worker is None and ranking:
            worker = ranking.take(
                search.avoided_workers(workflow, ref, usable)
            )
        if worker is not None:
            self._start(workflow, ref, worker, False, now)
            ranking.put_back(worker)
            return True
        if self._has_waited_too_long(workflow, now):
            worker = search.choose_despite_harm(workflow, ref, usable)
            if worker is not None:
                self._start(workflow, ref, worker, True, now)
                return True
        for victim_worker, victim in search.victims(workflow, ref, usable):
            run = victim_worker.runs[victim].run
            self._immediate_orders.stop(
                victim_worker, victim, run, "preempted"
            )
        return False

    def _place_gang(
        self,
        workflow: Workflow,
        ref: TaskRef,
        usable: list[TrackedWorker],
        search: CandidateSearch,
        now: float,
    ) -> bool:
        """Place all tasks of a gang, or none when one does not fit."""
        if workflow.is_current_run(ref, workflow.task(ref).run):
            # Placed with an earlier task of the same gang in this pass.
            return True
        step = workflow.step(ref)
        for workers in self._gang_candidate_sets(workflow, ref, usable):
            chosen = self._choose_gang(workflow, ref, workers, search, now)
            if len(chosen) == step.count:
                for gang_task, worker in chosen:
                    self._start(workflow, gang_task, worker, False, now)
                return True
        return False

    def _gang_candidate_sets(
        self, workflow: Workflow, ref: TaskRef, usable: list[TrackedWorker]
    ) -> Iterator[list[TrackedWorker]]:
        """Return the sets of workers to try, in order.

        A step with ``same_rack`` tries single racks first, but does not wait
        for one: spread over racks the gang runs slower, but starts sooner.
        """
        if workflow.step(ref).same_rack:
            racks: dict[str, list[TrackedWorker]] = {}
            for worker in usable:
                racks.setdefault(worker.record.rack, []).append(worker)
            wanted = workflow.step(ref).rack
            for rack in sorted(racks, key=lambda name: name != wanted):
                yield racks[rack]
        yield usable

    def _choose_gang(
        self,
        workflow: Workflow,
        ref: TaskRef,
        workers: list[TrackedWorker],
        search: CandidateSearch,
        now: float,
    ) -> list[tuple[TaskRef, TrackedWorker]]:
        """Return workers for as many gang tasks as fit at the same time.

        :param workers: workers to choose from
        """
        step = workflow.step(ref)
        chosen: list[tuple[TaskRef, TrackedWorker]] = []
        for gang_task in workflow.step_tasks(ref):
            ranking = search.rank_for_task(workflow, gang_task, workers)
            worker = ranking.take(frozenset())
            if worker is None:
                break
            # Reserves capacity for the rest of the loop, so that two tasks do
            # not count on the same; run 0 is never a real run.
            worker.add(
                gang_task, TrackedRun(0, step, workflow.spec.priority, now)
            )
            chosen.append((gang_task, worker))
        for gang_task, worker in chosen:
            worker.remove(gang_task, 0)
        return chosen

    def _has_waited_too_long(self, workflow: Workflow, now: float) -> bool:
        if workflow.has_placed_tasks:
            return False
        since = self._unplaced_since.get(workflow.id, now)
        return now - since > _FORCE_AFTER_S

    def _start(
        self,
        workflow: Workflow,
        ref: TaskRef,
        worker: TrackedWorker,
        forced: bool,
        now: float,
    ) -> None:
        run = workflow.place(ref, worker.key, forced)
        step = workflow.step(ref)
        tracked = TrackedRun(run, step, workflow.spec.priority, now)
        if forced:
            tracked.forced = True
            tracked.pace_percent = REDUCED_PACE_PERCENT
        worker.add(ref, tracked)
        self._times.record_placement(workflow, ref, now)
        self._starts.append(
            StartOrder(
                worker.key,
                ref,
                run,
                workflow.spec.payload,
                workflow.checkpoint(ref),
                self._ticket_cache.ticket_for(ref, worker.key, now),
            )
        )
        self._registry.mark_changed(workflow)
        self._log.line(
            "task.placed",
            str(ref),
            run=run,
            worker=worker.key.id,
            report_age_s=now - (worker.last_report_at or now),
            queue=workflow.spec.queue,
            cpu=step.cpu_millis,
            fills=step.fills,
            spare=int(worker.estimated_spare_cpu_millis),
            estimated_s=step.estimated_s,
            image=step.image,
        )


def _hold_workers(
    held: HeldWorkers,
    workflow: Workflow,
    stage: UrgencyStage,
    unplaced: dict[tuple[int, int], list[TaskRef]],
    workers: list[TrackedWorker],
) -> None:
    """Hold workers for the tasks of a workflow that did not fit.

    Gangs and best-effort tasks get none: a gang would need all at once, and
    best-effort tasks need no unreserved CPU. Neither do the new tasks of an
    interrupted workflow.

    :param stage: stage of the workflow after its placement
    :param unplaced: tasks that did not fit, by occurrence and step
    :param workers: workers that the workflow may use
    """
    for refs in unplaced.values():
        step = workflow.step(refs[0])
        if step.gang or step.fills:
            continue
        if stage is UrgencyStage.INTERRUPTED:
            refs = [ref for ref in refs if workflow.task(ref).run]
        if not refs:
            continue
        suitable = workers
        if not step.long_running:
            failed_on = workflow.task(refs[0]).failed_on
            suitable = [w for w in workers if w.key not in failed_on]
        held.hold_for(workflow, stage, refs, suitable)
