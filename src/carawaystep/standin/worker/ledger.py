"""Record of all executions of a stand-in worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.standin.worker.peak import Peak
from carawaystep.worker.resources import Resources

if TYPE_CHECKING:
    from carawaystep.standin.worker.execution import Execution
    from carawaystep.worker.capacity import Capacity
    from carawaystep.worker.execution_end import ExecutionEnd


class Ledger:
    """All executions since the start, and the peak use of each resource.

    Nothing is ever removed, because tests verify from the ledger that no
    work ran twice or was lost.
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
        """Return all executions, ordered by start time."""
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
        """Return the resources that the running executions use."""
        return self._used

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return int(self._connections.used)

    @property
    def peaks(self) -> dict[str, Peak]:
        """Return the peak use by the name of the limit."""
        return {
            "slots": self._slots,
            "cpu": self._cpu,
            "memory_mb": self._memory_mb,
            "accelerators": self._accelerators,
            "connections": self._connections,
        }

    def record_start(self, execution: Execution) -> None:
        """Record the start of an execution."""
        self._executions.append(execution)
        self._running[execution] = None
        self._slots.add(1)
        self._set_usage(self._used + execution.needs)

    def record_end(
        self, execution: Execution, how: ExecutionEnd, now: float
    ) -> None:
        """Record the end of an execution.

        :param execution: a running execution
        :param how: how it ended
        :param now: end time, seconds of a monotonic clock
        """
        del self._running[execution]
        execution.end = now
        execution.how = how
        self._slots.add(-1)
        self._set_usage(self._used - execution.needs)

    def record_connection_opened(self) -> None:
        """Record an accepted connection."""
        self._connections.add(1)

    def record_connection_closed(self) -> None:
        """Record that an accepted connection was closed."""
        self._connections.add(-1)

    def running_at(self, as_of: float) -> tuple[Execution, ...]:
        """Return the executions that were running at a past time."""
        return tuple(
            execution
            for execution in self._executions
            if execution.start <= as_of
            and (execution.end is None or execution.end > as_of)
        )

    def _set_usage(self, used: Resources) -> None:
        # Adding and subtracting fractional cores leaves rounding errors. An
        # idle worker resets them, so that they do not accumulate.
        self._used = used if self._running else Resources()
        self._cpu.add(self._used.cpu - self._cpu.used)
        self._memory_mb.add(self._used.memory_mb - self._memory_mb.used)
        self._accelerators.add(
            self._used.accelerators - self._accelerators.used
        )
