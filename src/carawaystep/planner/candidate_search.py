"""Search for the workers of steps during one placement pass."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from carawaystep.planner.candidate_ranking import CandidateRanking
from carawaystep.planner.eligibility import avoided_workers
from carawaystep.planner.eligibility import eligible_workers
from carawaystep.planner.eligibility import may_take
from carawaystep.planner.eligibility import suitable_workers
from carawaystep.planner.eligibility import workers_with_capacity
from carawaystep.planner.preemption import can_preempt
from carawaystep.planner.preemption import select_victims
from carawaystep.planner.unmet_needs import UnmetNeeds

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Iterator

    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.planner.task_placement_policy import Rank
    from carawaystep.planner.task_placement_policy import TaskPlacementPolicy
    from carawaystep.planner.ticket_cache import TicketCache
    from carawaystep.workflow.step_spec import StepSpec
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow


_StepGroup = tuple[str, str, bool, bool]


@dataclass(frozen=True, slots=True)
class _FoundWorkers:
    """Workers that suited a step earlier in the pass.

    :param step: the step
    :param usable: workers among which they were searched
    :param workers: those that suited it
    """

    step: StepSpec
    usable: list[TrackedWorker]
    workers: list[TrackedWorker]

    def serves(self, step: StepSpec, usable: list[TrackedWorker]) -> bool:
        """Tell whether no other worker can suit a step.

        :param step: a step with the same demands apart from its needs
        """
        return self.usable is usable and step.needs_at_least(self.step)


class CandidateSearch:
    """Finds the workers for the tasks of steps, and runs to preempt.

    Needs that no worker meets are searched for once in a pass.
    """

    def __init__(
        self,
        placement: TaskPlacementPolicy,
        ticket_cache: TicketCache,
        now: float,
    ) -> None:
        """Create a search for one pass.

        :param placement: ranks workers
        :param ticket_cache: keeps the tickets of the placement service
        :param now: current time, seconds of a monotonic clock
        """
        self._placement = placement
        self._ticket_cache = ticket_cache
        self._now = now
        self._workers_by_group: dict[_StepGroup, _FoundWorkers] = {}
        self._ranked_by_image: dict[tuple[object, ...], _FoundWorkers] = {}
        self._unmet_needs = UnmetNeeds()
        self._unmet_forced_needs = UnmetNeeds()
        self._unmet_preemptions = UnmetNeeds()

    def rank(
        self, workflow: Workflow, ref: TaskRef, usable: list[TrackedWorker]
    ) -> CandidateRanking:
        """Return the workers for the tasks of a step, best first.

        If the queue needs tickets, only workers with one qualify, and the
        ranking is valid for this task alone.

        :param ref: a task of the step
        :param usable: workers that may get new work
        """
        step = workflow.step(ref)
        if self._ticket_cache.needs_tickets(workflow):
            return self.rank_for_task(workflow, ref, usable)
        group = (*_step_group(workflow, ref), step.image)
        workers: Iterable[TrackedWorker] = ()
        if not self._unmet_needs.covers(group, step):
            workers = self._workers_for_image(workflow, ref, usable)
        if step.max_per_worker:
            workers = [w for w in workers if may_take(step, ref, w)]
        ranking = CandidateRanking(
            workers,
            partial(self._placement.rank, step, now=self._now),
            partial(self._rank, workflow, ref),
        )
        if not ranking and not step.max_per_worker:
            self._unmet_needs.add(group, step)
        if group not in self._ranked_by_image and not step.max_per_worker:
            self._ranked_by_image[group] = _FoundWorkers(
                step, usable, ranking.workers
            )
        return ranking

    def rank_for_task(
        self, workflow: Workflow, ref: TaskRef, usable: list[TrackedWorker]
    ) -> CandidateRanking:
        """Return the workers for one task, best first.

        :param ref: the task, of a gang or of a queue with tickets
        :param usable: workers that may get new work
        """
        rank = partial(self._rank, workflow, ref)
        workers = self._eligible_workers(workflow, ref, usable)
        return CandidateRanking(workers, rank, rank)

    def avoided_workers(
        self, workflow: Workflow, ref: TaskRef, usable: list[TrackedWorker]
    ) -> Collection[WorkerKey]:
        """Return the workers that a task must not get because it failed there.

        :param ref: the task
        :param usable: workers that may get new work
        """
        permitted = self._not_denied(workflow, ref, usable)
        return avoided_workers(workflow, ref, permitted, self._now)

    def choose_despite_harm(
        self, workflow: Workflow, ref: TaskRef, usable: list[TrackedWorker]
    ) -> TrackedWorker | None:
        """Return the worker on which a task harms others least.

        :param ref: a task that has waited too long
        :param usable: workers that may get new work
        """
        step = workflow.step(ref)
        group = _step_group(workflow, ref)
        if self._unmet_forced_needs.covers(group, step):
            return None
        rank = partial(self._placement.rank_despite_harm, step)
        ranking = CandidateRanking(
            self._eligible_workers(workflow, ref, usable), rank, rank
        )
        if not ranking and not self._is_for_one_task(workflow, ref):
            self._unmet_forced_needs.add(group, step)
        return ranking.take(frozenset())

    def victims(
        self, workflow: Workflow, ref: TaskRef, usable: list[TrackedWorker]
    ) -> list[tuple[TrackedWorker, TaskRef]]:
        """Return the runs to stop so that the ready tasks of a step fit.

        :param ref: a task of the step that did not fit
        :param usable: workers that may get new work
        """
        step = workflow.step(ref)
        group = (*_step_group(workflow, ref), workflow.spec.priority)
        if self._unmet_preemptions.covers(group, step):
            return []
        avoided = self.avoided_workers(workflow, ref, usable)
        open_workers = [
            worker
            for worker in self._not_denied(workflow, ref, usable)
            if worker.key not in avoided
        ]
        if can_preempt(workflow, ref, open_workers):
            return select_victims(workflow, ref, open_workers)
        if not self._is_for_one_task(workflow, ref):
            self._unmet_preemptions.add(group, step)
        return []

    def _workers_for_image(
        self, workflow: Workflow, ref: TaskRef, usable: list[TrackedWorker]
    ) -> list[TrackedWorker]:
        """Return the workers with room that may suit the image of a step.

        Those that suited an earlier step of the same image are looked
        through in place of all: no other can suit it later in the pass.
        """
        step = workflow.step(ref)
        known = self._ranked_by_image.get(
            (*_step_group(workflow, ref), step.image)
        )
        if known is None or not known.serves(step, usable):
            return self._workers_with_room(workflow, ref, usable)
        return [
            worker
            for worker in known.workers
            if self._placement.has_room(step, worker)
        ]

    def _workers_with_room(
        self, workflow: Workflow, ref: TaskRef, usable: list[TrackedWorker]
    ) -> list[TrackedWorker]:
        """Return the workers with the resources for a task of a step.

        Those of an earlier step that needs no more are looked through in
        place of all workers: no other can have gained resources in the pass.
        """
        step = workflow.step(ref)
        group = _step_group(workflow, ref)
        known = self._workers_by_group.get(group)
        if known is not None and known.serves(step, usable):
            return [
                worker
                for worker in known.workers
                if self._placement.has_room(step, worker)
            ]
        with_room = [
            worker
            for worker in suitable_workers(workflow, ref, usable, self._now)
            if self._placement.has_room(step, worker)
        ]
        self._workers_by_group[group] = _FoundWorkers(step, usable, with_room)
        return with_room

    def _rank(
        self, workflow: Workflow, ref: TaskRef, worker: TrackedWorker
    ) -> Rank | None:
        """Return the rank of a worker on which more may run by now."""
        step = workflow.step(ref)
        if not may_take(step, ref, worker):
            return None
        if not self._placement.has_room(step, worker):
            return None
        return self._placement.rank(step, worker, self._now)

    def _not_denied(
        self, workflow: Workflow, ref: TaskRef, workers: list[TrackedWorker]
    ) -> list[TrackedWorker]:
        """Return the workers that the placement service has not denied."""
        if not self._ticket_cache.needs_tickets(workflow):
            return workers
        return self._ticket_cache.not_denied(ref, workers)

    def _is_for_one_task(self, workflow: Workflow, ref: TaskRef) -> bool:
        """Tell whether a search in vain says nothing of other tasks."""
        return bool(
            workflow.step(ref).max_per_worker
            or self._ticket_cache.needs_tickets(workflow)
            or workflow.task(ref).failed_on
        )

    def _eligible_workers(
        self, workflow: Workflow, ref: TaskRef, usable: list[TrackedWorker]
    ) -> Iterator[TrackedWorker]:
        """Iterate over the workers that one task may get now.

        If its queue needs tickets, only workers with one qualify.
        """
        permitted = self._not_denied(workflow, ref, usable)
        with_capacity = workers_with_capacity(
            workflow, ref, permitted, self._now
        )
        avoided = self.avoided_workers(workflow, ref, usable)
        eligible = eligible_workers(workflow, ref, with_capacity, avoided)
        if not self._ticket_cache.needs_tickets(workflow):
            return eligible
        return self._ticket_cache.workers_with_ticket(
            workflow, ref, eligible, self._now
        )


def _step_group(workflow: Workflow, ref: TaskRef) -> _StepGroup:
    """Return what decides which workers suit a step, apart from its needs.

    Workflows with best-effort steps only may also use held workers.
    """
    step = workflow.step(ref)
    return (
        workflow.spec.service,
        step.label,
        step.fills,
        workflow.spec.best_effort,
    )
