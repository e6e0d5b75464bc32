"""Workers that new long-running tasks leave to short work."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from carawaystep.workflow.step_spec import MILLIS_PER_CORE

if TYPE_CHECKING:
    from collections.abc import Collection

    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.workflow.workflow import Workflow

# Arrivals of this time are the forecast of the next ones.
_WINDOW_S = 10.0
# Work comes in bursts: room for this multiple of its mean is kept.
_PEAK_FACTOR = 2.0
# CPU that is kept at most, as a share of that of the usable workers.
_MAX_KEPT_SHARE = 0.2
# A long-running workflow is kept off workers for this time at most.
_MAX_WAIT_S = 20.0


class WorkerReserve(ABC):
    """Decides which workers new long-running tasks leave to other work."""

    @abstractmethod
    def record(self, workflow: Workflow, wall_now: float) -> None:
        """Record a workflow that has tasks to place.

        :param wall_now: current wall-clock time in seconds
        """

    @abstractmethod
    def begin_pass(
        self, usable: list[TrackedWorker], wall_now: float
    ) -> ReservePass:
        """Return the decisions for one placement pass.

        :param usable: workers that may get new work
        :param wall_now: current wall-clock time in seconds
        """


class ReservePass(ABC):
    """Decisions of a reserve for one placement pass."""

    @abstractmethod
    def applies_to(self, workflow: Workflow) -> bool:
        """Tell whether a workflow is kept off workers."""

    @abstractmethod
    def open_to(
        self, workflow: Workflow, workers: list[TrackedWorker]
    ) -> list[TrackedWorker]:
        """Return those of the workers that a workflow may use."""


class NoReserve(WorkerReserve, ReservePass):
    """Leaves all workers to all work."""

    def record(self, workflow: Workflow, wall_now: float) -> None:
        """Record nothing."""

    def begin_pass(
        self, usable: list[TrackedWorker], wall_now: float
    ) -> ReservePass:
        """Return the same decision for each pass."""
        return self

    def applies_to(self, workflow: Workflow) -> bool:
        """Tell that no workflow is kept off workers."""
        return False

    def open_to(
        self, workflow: Workflow, workers: list[TrackedWorker]
    ) -> list[TrackedWorker]:
        """Return all workers."""
        return workers


@dataclass(frozen=True, slots=True)
class _Arrival:
    """Short work of one workflow.

    :param arrived_at: wall-clock time in seconds
    :param service: service whose workers run it
    :param priority: priority of the workflow
    :param cpu_s: declared CPU time, seconds of one core
    """

    arrived_at: float
    service: str
    priority: int
    cpu_s: float


class ShortWorkReserve(WorkerReserve):
    """Keeps room for the short work that is expected.

    Long-running tasks hold their CPU for minutes. Once they fill all workers,
    what is left lies in pieces too small for the tasks of short work of the
    same priority, which then miss their deadline. A long-running task that
    starts later loses only the time until then. One that lost its run waits
    for nothing.
    """

    def __init__(self) -> None:
        """Create a reserve that knows no short work."""
        self._arrivals: dict[str, _Arrival] = {}

    def record(self, workflow: Workflow, wall_now: float) -> None:
        """Record the short work of a workflow that has just arrived."""
        spec = workflow.spec
        if spec.scheduled or spec.long_running or spec.best_effort:
            return
        if workflow.id in self._arrivals:
            return
        if spec.accepted_at_s < wall_now - _WINDOW_S:
            return
        cpu_s = sum(
            step.task_cpu_s * step.count
            for step in spec.steps
            if not step.fills
        )
        self._arrivals[workflow.id] = _Arrival(
            wall_now, spec.service, spec.priority, cpu_s
        )

    def begin_pass(
        self, usable: list[TrackedWorker], wall_now: float
    ) -> ReservePass:
        """Return the decisions for one placement pass."""
        self._forget(wall_now - _WINDOW_S)
        return _ShortWorkPass(usable, self._arrivals.values(), wall_now)

    def _forget(self, before: float) -> None:
        """Forget the arrivals before a time."""
        for workflow_id, arrival in list(self._arrivals.items()):
            if arrival.arrived_at >= before:
                return
            del self._arrivals[workflow_id]


class _ShortWorkPass(ReservePass):
    """The workers that are kept in one pass, found when first asked for."""

    def __init__(
        self,
        usable: list[TrackedWorker],
        arrivals: Collection[_Arrival],
        wall_now: float,
    ) -> None:
        self._usable = usable
        self._arrivals = arrivals
        self._wall_now = wall_now
        self._kept: dict[tuple[str, int], set[WorkerKey]] = {}

    def applies_to(self, workflow: Workflow) -> bool:
        """Tell whether a workflow is new, long-running and not too late."""
        spec = workflow.spec
        return (
            spec.long_running
            and bool(self._arrivals)
            and self._wall_now - spec.accepted_at_s < _MAX_WAIT_S
            and not any(workflow.interrupted_tasks(self._wall_now))
        )

    def open_to(
        self, workflow: Workflow, workers: list[TrackedWorker]
    ) -> list[TrackedWorker]:
        """Return those of the workers that are not kept from a workflow."""
        if not self.applies_to(workflow):
            return workers
        lane = (workflow.spec.service, workflow.spec.priority)
        kept = self._kept.get(lane)
        if kept is None:
            kept = self._kept[lane] = self._keep(*lane)
        return [worker for worker in workers if worker.key not in kept]

    def _keep(self, service: str, priority: int) -> set[WorkerKey]:
        """Return the emptiest workers with room for the expected work.

        :param priority: lowest priority of the work that counts
        """
        workers = sorted(
            (w for w in self._usable if w.record.service == service),
            key=_room_cpu_millis,
            reverse=True,
        )
        all_cpu_millis = sum(w.record.capacity.cpu_millis for w in workers)
        left = min(
            self._expected_cpu_millis(service, priority),
            _MAX_KEPT_SHARE * all_cpu_millis,
        )
        kept = set()
        for worker in workers:
            if left <= 0:
                break
            kept.add(worker.key)
            left -= _room_cpu_millis(worker)
        return kept

    def _expected_cpu_millis(self, service: str, priority: int) -> float:
        """Return the CPU that short work needs at its peaks."""
        cpu_s = sum(
            arrival.cpu_s
            for arrival in self._arrivals
            if arrival.service == service and arrival.priority <= priority
        )
        return _PEAK_FACTOR * MILLIS_PER_CORE * cpu_s / _WINDOW_S


def _room_cpu_millis(worker: TrackedWorker) -> int:
    """Return the CPU that no long-running task reserves."""
    return worker.record.capacity.cpu_millis - worker.long_running_cpu_millis
