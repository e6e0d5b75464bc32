"""Runs that can no longer exist although no worker has reported their end."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.tracked_run import TrackedRun
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_key import WorkerKey
    from carawaystep.planner.contact_times import ContactTimes
    from carawaystep.planner.decision_log import DecisionLog
    from carawaystep.planner.run_stopper import RunStopper
    from carawaystep.planner.worker_registry import WorkerRegistry
    from carawaystep.planner.workflow_registry import WorkflowRegistry
    from carawaystep.workflow.task_ref import TaskRef
    from carawaystep.workflow.workflow import Workflow


class LostRuns:
    """Requeues the tasks of lost runs and releases their resources."""

    def __init__(
        self,
        registry: WorkflowRegistry,
        workers: WorkerRegistry,
        stopper: RunStopper,
        log: DecisionLog,
    ) -> None:
        """Create the rules of lost runs.

        :param registry: the workflows
        :param workers: the workers
        :param stopper: stops the gangs of lost runs
        :param log: receives a line for each lost run
        """
        self._registry = registry
        self._workers = workers
        self._stopper = stopper
        self._log = log

    def lose(
        self, worker: TrackedWorker, ref: TaskRef, run: int, reason: str
    ) -> None:
        """Give up a run that never started or can no longer exist.

        :param run: number of the run
        :param reason: reason for the log
        """
        worker.remove(ref, run)
        workflow = self._registry.get(ref.workflow)
        if workflow is not None:
            self._requeue(workflow, ref, run, worker.key, reason)

    def lose_expired(self, now: float, contact_times: ContactTimes) -> None:
        """Give up the runs of workers whose leases must have expired.

        :param now: current time, seconds of a monotonic clock
        :param contact_times: when the members that call the workers were
            last heard
        """
        for key in self._workers.take_overdue_unlisted(now):
            self._requeue_unlisted(key)
        for worker in self._workers.without_lease(now, contact_times):
            self._lose_ended(worker, now, contact_times)

    def drop_earlier_lifetimes(self, key: WorkerKey) -> None:
        """Give up the runs of earlier lifetimes of a worker that reported.

        A start that was ordered from an earlier lifetime is executed by the
        later one if it arrives after the restart. A run that has not been
        reported is therefore moved to the later one once that is listed.
        Stored runs are moved too: the first report in the term tells which
        of them exist.
        """
        if not self._workers.record_lifetime(key):
            return
        successor = self._workers.get(key)
        for worker in self._workers.earlier_lifetimes(key):
            self._drop_lifetime(worker, successor)
        if successor is not None:
            for workflow in self._workers.adopt_unlisted_before(successor):
                self._registry.mark_changed(workflow)

    def _drop_lifetime(
        self, worker: TrackedWorker, successor: TrackedWorker | None
    ) -> None:
        """Give up the runs of a lifetime that is over, or move them.

        :param successor: the later lifetime, None while it is not listed
        """
        for ref, tracked in list(worker.runs.items()):
            workflow = self._registry.get(ref.workflow)
            if workflow is None or workflow.has_been_reported(
                ref, tracked.run
            ):
                self.lose(worker, ref, tracked.run, "worker-restarted")
            elif successor is not None:
                worker.remove(ref, tracked.run)
                self._move(workflow, ref, tracked, successor)
        if not worker.runs:
            self._workers.remove(worker)

    def _move(
        self,
        workflow: Workflow,
        ref: TaskRef,
        tracked: TrackedRun,
        successor: TrackedWorker,
    ) -> None:
        """Move a run that may still start to a later lifetime, and stop it.

        It is requeued when it has ended there or cannot start any more.
        Does nothing when the run is not the current one.
        """
        if not workflow.is_current_run(ref, tracked.run):
            return
        workflow.move_run(ref, successor.key)
        self._registry.mark_changed(workflow)
        tracked.in_doubt = True
        tracked.stopping = False
        tracked.discard_stop_confirmation()
        successor.add(ref, tracked)
        self._stopper.stop_task(workflow, ref, "worker-restarted")

    def _lose_ended(
        self, worker: TrackedWorker, now: float, contact_times: ContactTimes
    ) -> None:
        """Give up the runs of a worker without a lease that have ended.

        :param now: current time, seconds of a monotonic clock
        :param contact_times: when the members that call the workers were
            last heard
        """
        all_ended = self._workers.is_without_unseen_lease(
            worker, now, contact_times
        )
        ended = [
            (ref, tracked.run)
            for ref, tracked in worker.runs.items()
            if all_ended
            or not self._may_be_on_unseen_lifetime(ref, tracked)
            # Kept for longer, it would be away for too long.
            or tracked.step.long_running
        ]
        if not ended:
            return
        report_at = worker.last_report_at
        contacts = contact_times(worker.key)
        self._log.line(
            "lease.passed",
            worker.key.id,
            born=worker.key.started_at_ms,
            report_age_s=-1.0 if report_at is None else now - report_at,
            contact_age_s=now - max(contacts) if contacts else -1.0,
            runs=len(ended),
            kept=len(worker.runs) - len(ended),
        )
        for ref, run in ended:
            self.lose(worker, ref, run, "lease-passed")

    def _may_be_on_unseen_lifetime(
        self, ref: TaskRef, tracked: TrackedRun
    ) -> bool:
        """Tell whether a start of this term may be on a later lifetime.

        Only a report shows that a run is on the lifetime it was meant for.
        """
        workflow = self._registry.get(ref.workflow)
        if workflow is None or tracked.inherited:
            return False
        return not workflow.has_been_reported(ref, tracked.run)

    def _requeue_unlisted(self, key: WorkerKey) -> None:
        for workflow in self._registry:
            for ref, task in list(workflow.placed_tasks()):
                if task.worker == key:
                    self._requeue(workflow, ref, task.run, key, "worker-gone")

    def _requeue(
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
        self._stopper.stop_gang(workflow, ref)
        self._registry.mark_changed(workflow)
        self._log.line(
            "task.lost", str(ref), run=run, worker=key.id, reason=reason
        )
