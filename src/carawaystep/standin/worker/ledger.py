"""Record of everything that a stand-in worker ran."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.standin.worker.peak import Peak
from carawaystep.worker.resources import Resources

if TYPE_CHECKING:
    from carawaystep.standin.worker.execution import Execution
    from carawaystep.worker.capacity import Capacity
    from carawaystep.worker.execution_end import ExecutionEnd


class Ledger:
    """All executions since the start, and the peaks of each limit.

    Nothing is ever removed: tests prove from the ledger that no work ran
    twice or was lost.
    """

    def __init__(self, capacity: Capacity) -> None:
        """Create an empty ledger.

        :param capacity: limits of the worker
        """
        limits = capacity.resources
        self._executions: list[Execution] = []
        self._running: dict[Execution, None] = {}
        self._used = Resources()
        self._slots = Peak(capacity.slots)
        self._cpu = Peak(limits.cpu)
        self._memory_mb = Peak(limits.memory_mb)
        self._accelerators = Peak(limits.accelerators)
        self._connections = Peak(capacity.connections)

    @property
    def executions(self) -> tuple[Execution, ...]:
        """Return all executions in order of their start."""
        return tuple(self._executions)

    @property
    def running(self) -> tuple[Execution, ...]:
        """Return the executions that have not ended."""
        return tuple(self._running)

    @property
    def running_count(self) -> int:
        """Return the number of executions that have not ended."""
        return len(self._running)

    @property
    def used(self) -> Resources:
        """Return what the running executions hold."""
        return self._used

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return int(self._connections.used)

    @property
    def peaks(self) -> dict[str, Peak]:
        """Return the peaks by the name of their limit."""
        return {
            "slots": self._slots,
            "cpu": self._cpu,
            "memory_mb": self._memory_mb,
            "accelerators": self._accelerators,
            "connections": self._connections,
        }

    def begin(self, execution: Execution) -> None:
        """Record the start of an execution."""
        self._executions.append(execution)
        self._running[execution] = None
        self._slots.add(1)
        self._change_use(self._used + execution.needs)

    def end(self, execution: Execution, how: ExecutionEnd, now: float) -> None:
        """Record the end of an execution.

        :param execution: an execution that runs
        :param how: how it ended
        :param now: time of the end
        """
        del self._running[execution]
        execution.end = now
        execution.how = how
        self._slots.add(-1)
        self._change_use(self._used - execution.needs)

    def open_connection(self) -> None:
        """Record an accepted connection."""
        self._connections.add(1)

    def close_connection(self) -> None:
        """Record the end of an accepted connection."""
        self._connections.add(-1)

    def running_at(self, seen_at: float) -> tuple[Execution, ...]:
        """Return the executions that ran at a past time."""
        return tuple(
            execution
            for execution in self._executions
            if execution.start <= seen_at
            and (execution.end is None or execution.end > seen_at)
        )

    def _change_use(self, used: Resources) -> None:
        # Sums of fractional cores leave rounding errors behind, which an
        # idle worker must not accumulate.
        self._used = used if self._running else Resources()
        self._cpu.add(self._used.cpu - self._cpu.used)
        self._memory_mb.add(self._used.memory_mb - self._memory_mb.used)
        self._accelerators.add(
            self._used.accelerators - self._accelerators.used
        )
