"""Placement of the tasks that are ready."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.fleet.held_run import HeldRun
from carawaystep.fleet.order import StartOrder
from carawaystep.planner.eligibility import eligible
from carawaystep.planner.eligibility import with_room
from carawaystep.planner.harm_guard import PRESSED_PACE
from carawaystep.planner.preemption import victims

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.fleet.held_worker import HeldWorker
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.planner.order_desk import OrderDesk
    from carawaystep.planner.permits import Permits
    from carawaystep.planner.task_placement import TaskPlacement
    from carawaystep.planner.workflow_book import WorkflowBook
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow

# A workflow of which nothing has run for so long is placed even where it
# likely harms; it is slowed down there as far as needed.
_PRESS_AFTER_S = 1.5


class TaskFeeder:
    """Gives workers to ready tasks, the most urgent workflows first.

    Starts are collected until they are taken; none may be sent before the
    placement is stored.
    """

    def __init__(
        self,
        book: WorkflowBook,
        placement: TaskPlacement,
        permits: Permits,
        desk: OrderDesk,
        log: DecisionLog,
    ) -> None:
        """Create a feeder that has placed nothing.

        :param book: the workflows
        :param placement: chooses workers
        :param permits: workers that the placement service allows
        :param desk: takes the stops of preempted runs
        :param log: takes a line for each placement
        """
        self._book = book
        self._placement = placement
        self._permits = permits
        self._desk = desk
        self._log = log
        self._starving_since: dict[str, float] = {}
        self._starts: list[StartOrder] = []

    def take_starts(self) -> list[StartOrder]:
        """Return the starts of tasks placed since the last call."""
        starts, self._starts = self._starts, []
        return starts

    def feed(
        self, usable: list[HeldWorker], now: float, wall_now: float
    ) -> None:
        """Place what is ready.

        :param usable: workers that may get new work
        :param now: present time, seconds of a steady clock
        :param wall_now: present wall-clock time in seconds
        """
        for workflow in self._book.hungry(wall_now):
            complete = self._feed(workflow, usable, now, wall_now)
            if complete and not workflow.spec.scheduled:
                self._book.feed(workflow)
            if complete or workflow.has_placed:
                self._starving_since.pop(workflow.id, None)
            else:
                self._starving_since.setdefault(workflow.id, now)
        for name in self._starving_since.keys() - self._book.workflows.keys():
            del self._starving_since[name]

    def _feed(
        self,
        workflow: Workflow,
        usable: list[HeldWorker],
        now: float,
        wall_now: float,
    ) -> bool:
        """Place a workflow's ready tasks; tell whether none is left over."""
        refused: set[tuple[int, int]] = set()
        shortlists: dict[tuple[int, int], list[HeldWorker]] = {}
        for ref in list(workflow.ready(wall_now)):
            slot = (ref.occurrence, ref.step)
            if slot in refused:
                continue
            if workflow.step(ref).gang:
                fed = self._feed_gang(workflow, ref, usable, now)
            else:
                if slot not in shortlists:
                    shortlists[slot] = self._placement.shortlist(
                        workflow.step(ref),
                        with_room(workflow, ref, usable, now),
                        now,
                    )
                fed = self._feed_task(
                    workflow, ref, shortlists[slot], usable, now
                )
            if not fed:
                refused.add(slot)
        return not refused

    def _feed_task(
        self,
        workflow: Workflow,
        ref: TaskRef,
        shortlist: list[HeldWorker],
        usable: list[HeldWorker],
        now: float,
    ) -> bool:
        step = workflow.step(ref)
        worker = self._placement.choose(
            step, self._candidates(workflow, ref, shortlist, usable, now), now
        )
        pressed = False
        if worker is None and self._starves(workflow, now):
            others = with_room(workflow, ref, usable, now)
            worker = self._placement.choose_despite_harm(
                step, self._candidates(workflow, ref, others, usable, now)
            )
            pressed = worker is not None
        if worker is not None:
            self._start(workflow, ref, worker, pressed, now)
            return True
        for victim, other in victims(workflow, ref, usable):
            run = victim.runs[other].run
            self._desk.stop(victim, other, run, "preempted")
        return False

    def _feed_gang(
        self,
        workflow: Workflow,
        ref: TaskRef,
        usable: list[HeldWorker],
        now: float,
    ) -> bool:
        """Place all members of a gang, or none when one finds no room."""
        if workflow.present_run(ref, workflow.task(ref).run):
            return True
        step = workflow.step(ref)
        for workers in self._gang_ranges(workflow, ref, usable):
            chosen = self._choose_gang(workflow, ref, workers, now)
            if len(chosen) == step.count:
                for member, worker in chosen:
                    self._start(workflow, member, worker, False, now)
                return True
        return False

    def _gang_ranges(
        self, workflow: Workflow, ref: TaskRef, usable: list[HeldWorker]
    ) -> Iterator[list[HeldWorker]]:
        """Return the sets of workers to try, single racks first.

        Members of a step that slows down over racks wait for no rack: with
        a slower start they are still at work sooner.
        """
        if workflow.step(ref).same_rack:
            racks: dict[str, list[HeldWorker]] = {}
            for worker in usable:
                racks.setdefault(worker.offer.rack, []).append(worker)
            wanted = workflow.step(ref).rack
            for rack in sorted(racks, key=lambda name: name != wanted):
                yield racks[rack]
        yield usable

    def _choose_gang(
        self,
        workflow: Workflow,
        ref: TaskRef,
        usable: list[HeldWorker],
        now: float,
    ) -> list[tuple[TaskRef, HeldWorker]]:
        """Return workers for as many members as find room together."""
        step = workflow.step(ref)
        chosen: list[tuple[TaskRef, HeldWorker]] = []
        fitting = with_room(workflow, ref, usable, now)
        for member in workflow.members(ref):
            worker = self._placement.choose(
                step,
                self._candidates(workflow, member, fitting, usable, now),
                now,
            )
            if worker is None:
                break
            worker.add(member, HeldRun(0, step, workflow.spec.priority, now))
            chosen.append((member, worker))
        for member, worker in chosen:
            worker.remove(member, 0)
        return chosen

    def _candidates(
        self,
        workflow: Workflow,
        ref: TaskRef,
        fitting: list[HeldWorker],
        usable: list[HeldWorker],
        now: float,
    ) -> Iterator[HeldWorker]:
        """Return the workers that may get one more task now."""
        candidates = eligible(workflow, ref, fitting, usable)
        if not workflow.spec.needs_permits:
            return candidates
        return self._permits.filter(workflow, ref, candidates, now)

    def _starves(self, workflow: Workflow, now: float) -> bool:
        if workflow.has_placed:
            return False
        since = self._starving_since.get(workflow.id, now)
        return now - since > _PRESS_AFTER_S

    def _start(
        self,
        workflow: Workflow,
        ref: TaskRef,
        worker: HeldWorker,
        pressed: bool,
        now: float,
    ) -> None:
        run = workflow.place(ref, worker.key)
        step = workflow.step(ref)
        held = HeldRun(run, step, workflow.spec.priority, now)
        if pressed:
            held.pressed = True
            held.pace = PRESSED_PACE
        worker.add(ref, held)
        self._starts.append(
            StartOrder(
                worker.key,
                ref,
                run,
                workflow.spec.payload,
                workflow.checkpoint(ref),
                self._permits.ticket(ref, worker.key, now),
            )
        )
        self._book.touch(workflow)
        self._log.line(
            "task.placed",
            str(ref),
            run=run,
            worker=worker.key.id,
            report_age_s=now - (worker.heard_at or now),
            queue=workflow.spec.queue,
            cpu=step.cpu_millis,
            fills=step.fills,
            spare=int(worker.likely_spare_cpu),
            estimated_s=step.estimated_s,
            image=step.image,
        )
