"""Checks of what callers were told against what workers do."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from carawaystep.scheduler import tables
from carawaystep.scheduler.call_outcome import CallOutcome
from carawaystep.workflow.run_end import RunEnd
from carawaystep.workflow.task_state import TaskState
from carawaystep.workflow.workflow_state import WorkflowState
from tests.scheduler.simulation.workflow_promise import WorkflowPromise

if TYPE_CHECKING:
    from carawaystep.fleet.order import StartOrder
    from carawaystep.fleet.worker_report import EndedRun
    from carawaystep.store.row import Row
    from carawaystep.workflow.task_ref import TaskRef
    from tests.planner.simulated_worker import SimulatedWorker
    from tests.scheduler.simulation.calm_period import CalmPeriod
    from tests.scheduler.simulation.simulated_store import SimulatedStore
    from tests.scheduler.simulation.simulation_record import SimulationRecord

# cancel_ms of the users' sites: no start later after a confirmation.
_START_BOUND_S = 3.0
# Without a fault, a start that was stored before the cancellation waits for
# an order to be sent and for the first report of a worker, 0.5 s, at most.
_CALM_START_BOUND_S = 0.6
# Faults this long ago have no effect on calls and orders any more: contact_ms
# of the users' sites.
_CONTACT_S = 3.0
# cancel_ms and stop_timeout_ms of the users' sites, and one tick of a worker.
_RUN_BOUND_S = 3.0 + 0.2 + 0.05


class PromiseChecks:
    """Compares the outcomes of calls with each other and with the workers.

    Each check names the promise that is broken.
    """

    def __init__(
        self,
        store: SimulatedStore,
        workers: dict[str, SimulatedWorker],
        calm: CalmPeriod,
        record: SimulationRecord,
    ) -> None:
        """Create checks without workflows.

        :param store: holds what is confirmed
        :param workers: the workers by id
        :param calm: since when there is no fault
        :param record: receives the violations
        """
        self._store = store
        self._workers = workers
        self._calm = calm
        self._record = record
        self.promises: dict[str, WorkflowPromise] = {}
        self._done: set[tuple[str, int, int, int]] = set()
        self._failed: set[str] = set()
        self._started_at: dict[tuple[str, TaskRef, int], float] = {}

    def add_workflow(self, workflow_id: str) -> None:
        """Expect calls for a workflow, whose payload is its id."""
        self.promises[workflow_id] = WorkflowPromise()

    def begin_submission(self, workflow_id: str) -> None:
        """Record that an attempt to submit a workflow begins."""
        self.promises[workflow_id].open_attempts += 1

    def record_submission(
        self, workflow_id: str, outcome: CallOutcome | None
    ) -> None:
        """Record the outcome of a submission, None without an answer."""
        promise = self.promises[workflow_id]
        promise.open_attempts -= 1
        if outcome is CallOutcome.ACCEPTED:
            self._record.check(
                self._holds_submission(workflow_id),
                f"{workflow_id} is accepted and not stored",
            )
            if promise.accepted_at is None:
                promise.accepted_at = self._now()
        if outcome is not CallOutcome.REFUSED:
            promise.maybe_stored = True

    def record_cancellation(
        self, workflow_id: str, asked_at: float, outcome: CallOutcome | None
    ) -> None:
        """Record the outcome of a cancellation.

        Also an absent workflow is cancelled: its submission may follow.
        """
        promise = self.promises[workflow_id]
        if outcome is CallOutcome.ABSENT:
            self._check_not_accepted(workflow_id, asked_at, "cancelled")
        if outcome not in (CallOutcome.ACCEPTED, CallOutcome.ABSENT):
            return
        self._record.check(
            self._holds_cancellation(workflow_id),
            f"the cancellation of {workflow_id} is confirmed and not stored",
        )
        if promise.cancelled_at is None:
            promise.cancelled_at = self._now()

    def record_state(
        self, workflow_id: str, asked_at: float, state: WorkflowState | None
    ) -> None:
        """Record and check a state that a caller was shown.

        :param asked_at: when the caller asked for it
        :param state: the state, None if the workflow is absent
        """
        promise = self.promises[workflow_id]
        if state is None:
            self._check_not_accepted(workflow_id, asked_at, "asked for")
            return
        shown_at = promise.final_shown_at
        if shown_at is not None and asked_at > shown_at:
            # A node that cannot know the newest leader yet, because of a
            # fault, may show a state of the one before.
            is_stale = not state.final and self._is_fault_near(asked_at)
            self._record.check(
                state is promise.final_state or is_stale,
                f"{workflow_id} is {state} after {promise.final_state}",
            )
            self._record.stale_states += is_stale
        if not state.final:
            return
        if promise.final_state is None:
            promise.final_state = state
            promise.final_shown_at = self._now()
        self._record.check(
            state is not WorkflowState.CANCELLED or promise.cancel_sent,
            f"{workflow_id} is shown as cancelled, which nobody asked for",
        )
        self._record.check(
            state is not WorkflowState.FAILED or workflow_id in self._failed,
            f"{workflow_id} is shown as failed before that is stored",
        )

    def check_write(self, table: str, row: Row) -> None:
        """Record which tasks are stored as done and what has failed."""
        if table == tables.ENDED and row.value is not None:
            if row.value["state"] == WorkflowState.FAILED.value:
                self._failed.add(row.key)
        elif table == tables.PROGRESS and row.value is not None:
            if row.value["failed"]:
                self._failed.add(row.key)
            for occurrence, step, index, state, *_ in row.value["tasks"]:
                if state == TaskState.DONE.value:
                    self._done.add((row.key, occurrence, step, index))

    def record_acknowledged_end(self, ended: EndedRun) -> None:
        """Record that a worker forgets an end because it is acknowledged."""
        if ended.end is RunEnd.DONE:
            self._done.add(tuple(ended.ref))

    def check_start(
        self, worker: SimulatedWorker, order: StartOrder, late: bool
    ) -> None:
        """Check a start on a worker.

        :param late: whether the worker carried the order out late
        """
        ref = order.ref
        now = self._now()
        self._record.add(f"{worker.name} start {ref} run={order.run}")
        self._started_at[worker.name, ref, order.run] = now
        promise = self.promises.get(ref.workflow)
        self._record.check(
            promise is not None and order.payload == ref.workflow,
            f"{ref} starts, which nobody submitted",
        )
        self._record.check(
            tuple(ref) not in self._done, f"{ref} starts after its end"
        )
        for other in self._workers.values():
            other.end_due_runs(now)
            self._record.check(
                other is worker or not other.running or ref not in other.runs,
                f"{ref} starts on {worker.name} and runs on {other.name}",
            )
        if promise is None:
            return
        promise.started = True
        self._record.check(
            promise.maybe_stored or promise.open_attempts > 0,
            f"{ref} starts, of which all attempts were refused",
        )
        if promise.cancelled_at is not None and not late:
            self._check_start_bound(ref, now - promise.cancelled_at)

    def check_runs(self) -> None:
        """Check that no run of a cancelled workflow goes on."""
        now = self._now()
        if self._calm.calm_s(now) < _CONTACT_S:
            return
        for worker in self._workers.values():
            for ref, run in worker.runs.items():
                promise = self.promises.get(ref.workflow)
                if promise is None or promise.cancelled_at is None:
                    continue
                began_at = self._started_at[worker.name, ref, run.run]
                since = max(
                    promise.cancelled_at,
                    began_at,
                    now - self._calm.calm_s(now) + _CONTACT_S,
                )
                self._record.check(
                    now - since <= _RUN_BOUND_S,
                    f"{ref} runs on {worker.name} for {now - since:.2f} s"
                    " although it is cancelled",
                )

    def check_end(self) -> None:
        """Check the outcomes once all faults have ended for long."""
        for workflow_id, promise in self.promises.items():
            self._record.check(
                promise.maybe_stored or not promise.started,
                f"{workflow_id} has started, and was only ever refused",
            )
            self._record.check(
                promise.accepted_at is None or promise.final_state is not None,
                f"{workflow_id} was accepted and does not end",
            )

    def _holds_submission(self, workflow_id: str) -> bool:
        """Tell whether the store has a submission or its final state."""
        return any(
            self._store.get(table, workflow_id) is not None
            for table in (tables.SUBMISSIONS, tables.ENDED)
        )

    def _holds_cancellation(self, workflow_id: str) -> bool:
        """Tell whether the store has a cancellation or a final state."""
        progress = self._store.get(tables.PROGRESS, workflow_id)
        if progress is not None:
            has_ended = progress.value["cancelled"] or progress.value["failed"]
            if has_ended:
                return True
        return any(
            self._store.get(table, workflow_id) is not None
            for table in (tables.CANCELS, tables.ENDED)
        )

    def _check_start_bound(self, ref: TaskRef, after_s: float) -> None:
        confirmed_at = self._now() - after_s
        bound_s = _CALM_START_BOUND_S
        if self._is_fault_near(confirmed_at):
            bound_s = _START_BOUND_S
        self._record.check(
            after_s <= bound_s,
            f"{ref} starts {after_s:.2f} s after its cancellation was"
            f" confirmed, bound {bound_s:g} s",
        )

    def _check_not_accepted(
        self, workflow_id: str, asked_at: float, call: str
    ) -> None:
        accepted_at = self.promises[workflow_id].accepted_at
        self._record.check(
            accepted_at is None or accepted_at >= asked_at,
            f"{workflow_id} is absent when {call}, and was accepted at"
            f" {accepted_at or 0.0:.3f}",
        )

    def _is_fault_near(self, since: float) -> bool:
        """Tell whether a fault may affect a call that was sent then."""
        now = self._now()
        return self._calm.calm_s(now) < now - since + _CONTACT_S

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
