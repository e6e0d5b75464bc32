"""Simulated worker that follows the protocol of the real workers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.fleet.worker_report import EndedRun
from carawaystep.fleet.worker_report import ReportedRun
from carawaystep.fleet.worker_report import WorkerReport
from carawaystep.workflow.run_end import RunEnd

if TYPE_CHECKING:
    from carawaystep.workflow.task_ref import TaskRef

LEASE_S = 6.0
_STOP_DURATION_S = 0.2


@dataclass(slots=True)
class SimulatedRun:
    """A run on the worker.

    :param run: number of the run
    :param cpu_millis: reserved CPU, thousandths of a core
    :param ends_at: simulated time in seconds at which it ends
    :param end: how it ends then
    """

    run: int
    cpu_millis: int
    ends_at: float
    end: RunEnd


class SimulatedWorker:
    """Checks fencing tokens, run numbers and deadlines, but no capacity."""

    def __init__(self, name: str, ends_per_report: int = 500) -> None:
        """Create a worker without runs.

        :param ends_per_report: how many ends a report lists at most
        """
        self.name = name
        self._ends_per_report = ends_per_report
        self.started_at_ms = 1
        self.running = True
        self.unreachable_until = 0.0
        self.cut_off_until = 0.0
        self.listed = True
        self.contacts_lost_at: list[float] = []
        self._unheard_until = 0.0
        self.runs: dict[TaskRef, SimulatedRun] = {}
        self._token = 0
        self._ended: list[EndedRun] = []
        self._highest_run_numbers: dict[TaskRef, int] = {}
        self._lease_until = 0.0
        self._end_number = 0
        # Highest number of an end after which the lease has expired.
        self._last_end_before_expiry = 0

    @property
    def key(self) -> WorkerKey:
        """Return the identity of the current lifetime."""
        return WorkerKey(self.name, self.started_at_ms)

    @property
    def token(self) -> int:
        """Return the highest fencing token that this lifetime has seen."""
        return self._token

    @property
    def unacknowledged_ends(self) -> list[EndedRun]:
        """Return the ends of runs that the next report has."""
        return self._ended

    def cut_off(self, now: float) -> bool:
        """Tell whether only members of earlier leaders can reach it."""
        return now < self.cut_off_until

    def unheard(self, now: float) -> bool:
        """Tell whether its member reaches it, but not the leader."""
        return bool(
            self.contacts_lost_at
            and self.contacts_lost_at[-1] <= now < self._unheard_until
        )

    def lose_contact(self, since: float, duration_s: float) -> None:
        """Let it be unreachable, and then be reached by its member only.

        :param since: simulated time in seconds from which its member, which
            has lost the leader, reaches it again
        :param duration_s: seconds for which the leader does not hear it then
        """
        self.unreachable_until = since
        self.contacts_lost_at.append(since)
        self._unheard_until = since + duration_s

    def reachable(self, now: float) -> bool:
        """Tell whether members of the current leader can call it."""
        return (
            self.running
            and now >= self.unreachable_until
            and not self.cut_off(now)
            and not self.unheard(now)
        )

    def start(
        self,
        ref: TaskRef,
        run: SimulatedRun,
        token: int,
        deadline: float,
        now: float,
    ) -> bool:
        """Start a run unless token, run number or deadline forbid it."""
        if token < self._token or now > deadline:
            return False
        self._token = token
        if run.run <= self._highest_run_numbers.get(ref, 0):
            return False
        self._highest_run_numbers[ref] = run.run
        self.runs[ref] = run
        self._record_expiry(now)
        self._lease_until = max(self._lease_until, deadline)
        return True

    def stop(self, ref: TaskRef, run: int, token: int, now: float) -> bool:
        """Stop a run after a short time, or refuse its start from now on."""
        if token < self._token:
            return False
        self._highest_run_numbers[ref] = max(
            run, self._highest_run_numbers.get(ref, 0)
        )
        simulated = self.runs.get(ref)
        if simulated is not None and simulated.run == run:
            simulated.ends_at = min(simulated.ends_at, now + _STOP_DURATION_S)
            simulated.end = RunEnd.STOPPED
        return True

    def held_lease_since(self, ended: EndedRun) -> bool:
        """Tell whether its lease has not expired since a run has ended."""
        return ended.number > self._last_end_before_expiry

    def report(
        self,
        token: int,
        acknowledged: int,
        now: float,
        extend_lease: bool = True,
    ) -> WorkerReport | None:
        """Return a report and optionally extend the lease.

        :returns: the report, None for a low token
        """
        if token < self._token:
            return None
        self._token = token
        self._record_expiry(now)
        if extend_lease:
            self._lease_until = max(self._lease_until, now + LEASE_S)
        self._ended = [e for e in self._ended if e.number > acknowledged]
        reported_runs = [
            ReportedRun(ref, simulated.run, "", 50.0, 0.0)
            for ref, simulated in self.runs.items()
        ]
        listed_ends = self._ended[: self._ends_per_report]
        return WorkerReport(
            self.key,
            reported_runs,
            listed_ends,
            ends_truncated=len(listed_ends) == self._ends_per_report,
        )

    def crash(self) -> None:
        """Stop the worker and drop its runs."""
        self.running = False
        self.runs.clear()

    def restart(self) -> None:
        """Start a new lifetime."""
        self.running = True
        self.started_at_ms += 1
        self._token = 0
        self._ended.clear()
        self._highest_run_numbers.clear()
        self._end_number = 0
        self._last_end_before_expiry = 0

    def end_due_runs(self, now: float) -> None:
        """End the runs that are due, and all runs once the lease expires."""
        lapsed = now > self._lease_until
        for ref, simulated in list(self.runs.items()):
            if lapsed or now >= simulated.ends_at:
                del self.runs[ref]
                end = RunEnd.LAPSED if lapsed else simulated.end
                self._end_number += 1
                self._ended.append(
                    EndedRun(self._end_number, ref, simulated.run, end, "")
                )
        self._record_expiry(now)

    def _record_expiry(self, now: float) -> None:
        if now > self._lease_until:
            self._last_end_before_expiry = self._end_number
