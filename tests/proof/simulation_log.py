"""Record of a simulation."""

from __future__ import annotations

import asyncio
from collections import Counter


class SimulationLog:
    """Counts steps, faults and checks, and records violations.

    A step is one turn of the callers or one attempt to inject a fault. Checks
    are the checked conditions and, in the audit at the end, the call records,
    accepted jobs and executions.
    """

    def __init__(self) -> None:
        """Create an empty log."""
        self.steps = 0
        self.checks = 0
        self.faults: Counter[str] = Counter()
        self.violations: list[str] = []
        self.history: list[str] = []

    def record_fault(self, kind: str, subject: str) -> None:
        """Count a fault and add it to the history.

        :param kind: kind of the fault, the key of its counter
        :param subject: names of the parts that it affects
        """
        self.faults[kind] += 1
        now = asyncio.get_running_loop().time()
        self.history.append(f"{now:.2f} {kind} {subject}")

    def check(self, holds: bool, violation: str) -> None:
        """Count a check and record its violation, if any.

        :param holds: False if the invariant is violated
        :param violation: human-readable description of the violation
        """
        self.checks += 1
        if not holds:
            now = asyncio.get_running_loop().time()
            self.violations.append(f"{now:.2f} {violation}")
