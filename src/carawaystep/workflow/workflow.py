"""The workflow aggregate and the invariants of its tasks."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.workflow.remaining_work import RemainingWork
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.task import Task
from carawaystep.workflow.task_ref import TaskRef
from carawaystep.workflow.task_state import TaskState
from carawaystep.workflow.urgency import Urgency
from carawaystep.workflow.urgency import UrgencyStage
from carawaystep.workflow.workflow_record import TaskRecord
from carawaystep.workflow.workflow_record import WorkflowRecord
from carawaystep.workflow.workflow_state import WorkflowState

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from carawaystep.workflow.step_spec import StepSpec
    from carawaystep.workflow.workflow_spec import WorkflowSpec

_StepKey = tuple[int, int]


class Workflow:
    """One accepted workflow: the state of its tasks, and its end.

    Invariants: a task has at most one run at a time, its run numbers only
    increase, a task that is done stays done, no task starts before the steps
    that it depends on are done, and none starts after the workflow has ended.
    """

    def __init__(self, spec: WorkflowSpec) -> None:
        """Create a workflow of which no task has started.

        :param spec: the accepted submission
        """
        self._spec = spec
        self._tasks: dict[_StepKey, list[Task]] = {
            (occurrence, step_number): [Task() for _ in range(step.count)]
            for occurrence in range(spec.occurrences)
            for step_number, step in enumerate(spec.steps)
        }
        self._unfinished = {
            step_key: len(tasks) for step_key, tasks in self._tasks.items()
        }
        self._placed_count = 0
        self._started = False
        self._has_begun = False
        self._started_in_turn = False
        self._cancelled = False
        self._failed = False
        self._run_end_counts: Counter[RunEnd] = Counter()
        self._lost_run_count = 0

    @property
    def spec(self) -> WorkflowSpec:
        """Return the accepted submission."""
        return self._spec

    @property
    def id(self) -> str:
        """Return the id."""
        return self._spec.id

    @property
    def state(self) -> WorkflowState:
        """Return the state that is reported to callers."""
        if self._cancelled:
            return WorkflowState.CANCELLED
        if self._failed:
            return WorkflowState.FAILED
        if not any(self._unfinished.values()):
            return WorkflowState.DONE
        if self._started:
            return WorkflowState.RUNNING
        return WorkflowState.PENDING

    @property
    def ended(self) -> bool:
        """Tell whether the workflow is done, failed or cancelled."""
        return self.state.final

    @property
    def settled(self) -> bool:
        """Tell whether it has ended and no run of it can still exist."""
        return self.ended and self._placed_count == 0

    @property
    def has_begun(self) -> bool:
        """Tell whether a run is known to have begun on a worker.

        A task that is placed may never start there.
        """
        return self._has_begun

    @property
    def has_placed_tasks(self) -> bool:
        """Tell whether a run of a task may exist."""
        return self._placed_count > 0

    @property
    def task_count(self) -> int:
        """Return the number of tasks of all occurrences."""
        return sum(len(tasks) for tasks in self._tasks.values())

    @property
    def run_end_counts(self) -> Mapping[RunEnd, int]:
        """Return the number of runs that ended in this term, by end."""
        return self._run_end_counts

    @property
    def lost_run_count(self) -> int:
        """Return the number of runs that were lost in this term."""
        return self._lost_run_count

    def urgency(self, wall_now: float) -> Urgency:
        """Return how urgent the waiting tasks are.

        The occurrence that became due last counts. A long-running workflow
        keeps its use however late it starts, and holds its resources for
        long, so that it gains no rank by having started. Neither does one
        of which only forced runs have started: under overload that may be
        every waiting workflow, and the long ones would never get a turn.

        :param wall_now: current wall-clock time in seconds
        """
        spec = self._spec
        occurrence = self._last_due_occurrence(wall_now)
        begin = spec.begin_at_s(occurrence)
        deadline = begin + spec.target_duration_s
        remaining_s = spec.critical_path_s(self._done_steps(occurrence))
        stage = self._urgency_stage(begin, remaining_s, wall_now)
        return Urgency(
            spec.priority,
            stage,
            remaining_s if stage is UrgencyStage.STARTED else 0.0,
            deadline,
            spec.id,
        )

    def remaining_work(self, wall_now: float) -> RemainingWork:
        """Return what is left of the occurrence that became due last.

        :param wall_now: current wall-clock time in seconds
        """
        spec = self._spec
        occurrence = self._last_due_occurrence(wall_now)
        begin = spec.begin_at_s(occurrence)
        return RemainingWork(
            target_duration_s=spec.target_duration_s,
            deadline=begin + spec.target_duration_s,
            useful_until=begin + spec.useful_duration_s,
            critical_path_s=spec.critical_path_s(self._done_steps(occurrence)),
            cpu_s=sum(
                step.task_cpu_s * self._unfinished[occurrence, number]
                for number, step in enumerate(spec.steps)
            ),
            all_cpu_s=sum(step.task_cpu_s * step.count for step in spec.steps),
            all_tasks=sum(step.count for step in spec.steps),
        )

    def use_after(self, took_s: float) -> UrgencyStage:
        """Return of what use an end is to the caller: on time, late, expired.

        :param took_s: seconds from the acceptance or due time to the end
        """
        if took_s <= self._spec.target_duration_s:
            return UrgencyStage.ON_TIME
        if took_s <= self._spec.useful_duration_s:
            return UrgencyStage.LATE
        return UrgencyStage.EXPIRED

    def interrupted_tasks(self, wall_now: float) -> Iterator[TaskRef]:
        """Iterate over long-running tasks that had a run and may start again.

        :param wall_now: current wall-clock time in seconds
        """
        if not self._spec.long_running:
            return
        for ref in self.ready_tasks(wall_now):
            if self.step(ref).long_running and self.task(ref).run > 0:
                yield ref

    def step(self, ref: TaskRef) -> StepSpec:
        """Return the step of a task."""
        return self._spec.steps[ref.step]

    def task(self, ref: TaskRef) -> Task:
        """Return the state of a task, for reading only."""
        return self._tasks[ref.occurrence, ref.step][ref.task]

    def find_task(self, ref: TaskRef) -> Task | None:
        """Return the state of a task, None when there is no such task."""
        tasks = self._tasks.get((ref.occurrence, ref.step), [])
        return tasks[ref.task] if 0 <= ref.task < len(tasks) else None

    def ready_tasks(self, wall_now: float) -> Iterator[TaskRef]:
        """Iterate over the tasks that may start now.

        A gang is ready only while no run of any of its tasks can exist.

        :param wall_now: current wall-clock time in seconds
        """
        for (occurrence, step_number), tasks in self._ready_steps(wall_now):
            for index, task in enumerate(tasks):
                if task.state is TaskState.WAITING:
                    yield TaskRef(self.id, occurrence, step_number, index)

    def ready_counts(self, wall_now: float) -> Iterator[tuple[int, int]]:
        """Iterate over the steps that may start now.

        :returns: number of the step and of its waiting tasks, by occurrence
        """
        for (_, step_number), tasks in self._ready_steps(wall_now):
            waiting = [t for t in tasks if t.state is TaskState.WAITING]
            yield step_number, len(waiting)

    def placed_tasks(self) -> Iterator[tuple[TaskRef, Task]]:
        """Iterate over the tasks of which a run may exist."""
        if not self._placed_count:
            return
        for (occurrence, step_number), tasks in self._tasks.items():
            for index, task in enumerate(tasks):
                if task.state is TaskState.PLACED:
                    yield (
                        TaskRef(self.id, occurrence, step_number, index),
                        task,
                    )

    def step_tasks(self, ref: TaskRef) -> list[TaskRef]:
        """Return all tasks of the same step and occurrence."""
        count = len(self._tasks[ref.occurrence, ref.step])
        return [ref._replace(task=index) for index in range(count)]

    def is_current_run(self, ref: TaskRef, run: int) -> bool:
        """Tell whether a run is the one that may currently exist.

        :param run: number of the run
        """
        task = self.find_task(ref)
        return (
            task is not None
            and task.state is TaskState.PLACED
            and task.run == run
        )

    def has_been_reported(self, ref: TaskRef, run: int) -> bool:
        """Tell whether a run is the current one and a report has listed it.

        :param run: number of the run
        """
        return self.is_current_run(ref, run) and self.task(ref).seen_running

    def checkpoint(self, ref: TaskRef) -> str:
        """Return the checkpoint to resume from, empty for none.

        The tasks of a gang share their checkpoints: the checkpoint of any of
        them serves all.
        """
        if not self.step(ref).gang:
            return self.task(ref).checkpoint
        tasks = self._tasks[ref.occurrence, ref.step]
        return next((t.checkpoint for t in tasks if t.checkpoint), "")

    def place(
        self, ref: TaskRef, worker: WorkerKey, forced: bool = False
    ) -> int:
        """Place the next run of a waiting task on a worker.

        :param forced: whether it is placed out of turn, only because the
            workflow has waited too long without a run
        :returns: number of the run
        :raises BrokenInvariant: when the task is not waiting or the workflow
            has ended
        """
        task = self.task(ref)
        if task.state is not TaskState.WAITING or self.ended:
            raise BrokenInvariant(
                f"cannot place task {ref} in state {task.state}"
            )
        task.run = self._next_run_number(ref, task)
        task.state = TaskState.PLACED
        task.worker = worker
        task.seen_running = False
        self._placed_count += 1
        self._started = True
        if not forced:
            self._started_in_turn = True
        return task.run

    def record_running(self, ref: TaskRef, run: int, checkpoint: str) -> bool:
        """Record that a report lists a run.

        :param run: number of the run
        :param checkpoint: latest checkpoint, empty for none
        :returns: False when it is not the current run
        """
        if not self.is_current_run(ref, run):
            return False
        task = self.task(ref)
        task.seen_running = True
        self._has_begun = True
        if checkpoint:
            task.checkpoint = checkpoint
        return True

    def end_run(
        self,
        ref: TaskRef,
        run: int,
        end: RunEnd,
        checkpoint: str,
        now: float,
    ) -> bool:
        """Record the end of a run.

        Only failures count as attempts. A long-running task starts again
        however its run ended. The first task of a gang that is done completes
        the whole gang.

        :param run: number of the run
        :param checkpoint: latest checkpoint, empty for none
        :param now: current time, seconds of a monotonic clock
        :returns: False when it is not the current run
        """
        if not self.is_current_run(ref, run):
            return False
        self._run_end_counts[end] += 1
        self._has_begun = True
        step = self.step(ref)
        if end is RunEnd.DONE and not step.long_running:
            if step.gang:
                self._finish_gang(ref)
            else:
                self._finish(ref)
            return True
        task = self.task(ref)
        if checkpoint:
            task.checkpoint = checkpoint
        if end is RunEnd.FAILED and task.worker is not None:
            task.failed_on[task.worker] = now
        self._release(task)
        if end is RunEnd.FAILED and not step.long_running:
            task.failures += 1
            if task.failures >= self._spec.max_attempts:
                self._failed = True
        return True

    def lose_run(self, ref: TaskRef, run: int) -> bool:
        """Requeue a task whose run never started or can no longer exist.

        :param run: number of the run
        :returns: False when it is not the current run
        """
        if not self.is_current_run(ref, run):
            return False
        self._lost_run_count += 1
        self._release(self.task(ref))
        return True

    def move_run(self, ref: TaskRef, worker: WorkerKey) -> None:
        """Record that a run is on a later lifetime of its worker.

        :param ref: task with a current run
        :param worker: the later lifetime
        """
        self.task(ref).worker = worker

    def cancel(self) -> bool:
        """Cancel the workflow.

        :returns: False when it has already ended
        """
        if self.ended:
            return False
        self._cancelled = True
        return True

    def fail(self) -> bool:
        """Fail the workflow, which cannot go on.

        :returns: False when it has already ended
        """
        if self.ended:
            return False
        self._failed = True
        return True

    def record(self) -> WorkflowRecord:
        """Return the progress to store."""
        tasks = [
            TaskRecord(
                occurrence,
                step_number,
                index,
                task.state.value,
                task.run,
                task.worker.id if task.worker else "",
                task.worker.started_at_ms if task.worker else 0,
                task.checkpoint,
                task.failures,
            )
            for (occurrence, step_number), tasks in self._tasks.items()
            for index, task in enumerate(tasks)
            if task.run
        ]
        return WorkflowRecord(
            tasks, self._cancelled, self._failed, self._started_in_turn
        )

    def restore(self, record: WorkflowRecord) -> None:
        """Load stored progress into a workflow that was just created.

        Tasks that the workflow does not have are skipped: they are of another
        submission under the same id, of which the store kept only one.
        """
        for stored in record.tasks:
            step_key = (stored.occurrence, stored.step)
            task = self.find_task(TaskRef(self.id, *step_key, stored.index))
            if task is None:
                continue
            task.state = TaskState(stored.state)
            task.run = stored.run
            task.checkpoint = stored.checkpoint
            task.failures = stored.failures
            if task.state is TaskState.PLACED:
                task.worker = WorkerKey(
                    stored.worker_id, stored.worker_started_at_ms
                )
                self._placed_count += 1
            if task.state is TaskState.DONE:
                self._unfinished[step_key] -= 1
                self._has_begun = True
            if task.failures or task.checkpoint:
                self._has_begun = True
        self._started = bool(record.tasks)
        self._started_in_turn = self._started and record.started_in_turn
        self._cancelled = record.cancelled
        self._failed = record.failed

    def _ready_steps(
        self, wall_now: float
    ) -> Iterator[tuple[_StepKey, list[Task]]]:
        """Iterate over the steps of which tasks may start now."""
        if self.ended:
            return
        for (occurrence, step_number), tasks in self._tasks.items():
            step = self._spec.steps[step_number]
            if not self._unfinished[occurrence, step_number]:
                continue
            if self._spec.due_at_s(occurrence) > wall_now:
                continue
            if any(
                self._unfinished[occurrence, earlier] for earlier in step.after
            ):
                continue
            if step.gang and any(t.state is TaskState.PLACED for t in tasks):
                continue
            yield (occurrence, step_number), tasks

    def _urgency_stage(
        self, begin: float, remaining_s: float, wall_now: float
    ) -> UrgencyStage:
        """Return what the workflow can still achieve.

        :param begin: wall-clock time from which its durations count
        :param remaining_s: remaining critical path in seconds
        """
        target_s = self._spec.target_duration_s
        ends_at = wall_now + remaining_s
        if self._spec.long_running:
            if any(self.interrupted_tasks(wall_now)):
                return UrgencyStage.INTERRUPTED
        elif ends_at > begin + self._spec.useful_duration_s:
            return UrgencyStage.EXPIRED
        elif self._started_in_turn:
            return UrgencyStage.STARTED
        on_time = ends_at <= begin + target_s
        return UrgencyStage.ON_TIME if on_time else UrgencyStage.LATE

    def _last_due_occurrence(self, wall_now: float) -> int:
        """Return the unfinished occurrence that became due last.

        :returns: the next one when none is due, 0 when all are finished
        """
        unfinished = sorted(
            {key[0] for key, count in self._unfinished.items() if count}
        )
        due = [o for o in unfinished if self._spec.due_at_s(o) <= wall_now]
        return due[-1] if due else next(iter(unfinished), 0)

    def _done_steps(self, occurrence: int) -> set[int]:
        return {
            step_number
            for step_number in range(len(self._spec.steps))
            if not self._unfinished[occurrence, step_number]
        }

    def _next_run_number(self, ref: TaskRef, task: Task) -> int:
        """Return the number of a task's next run.

        Tasks of a gang that are placed at the same time share one number.
        """
        if not self.step(ref).gang:
            return task.run + 1
        tasks = self._tasks[ref.occurrence, ref.step]
        placed_runs = [t.run for t in tasks if t.state is TaskState.PLACED]
        if placed_runs:
            return max(placed_runs)
        return max(t.run for t in tasks) + 1

    def _finish_gang(self, ref: TaskRef) -> None:
        for gang_task in self.step_tasks(ref):
            if self.task(gang_task).state is not TaskState.DONE:
                self._finish(gang_task)

    def _finish(self, ref: TaskRef) -> None:
        task = self.task(ref)
        self._release(task)
        task.state = TaskState.DONE
        self._unfinished[ref.occurrence, ref.step] -= 1

    def _release(self, task: Task) -> None:
        if task.state is TaskState.PLACED:
            self._placed_count -= 1
        task.state = TaskState.WAITING
        task.worker = None
        task.seen_running = False
