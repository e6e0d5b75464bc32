"""Record of a simulation."""

from __future__ import annotations

import asyncio
from collections import Counter


class SimulationRecord:
    """History of events, numbers of checks and faults, and violations.

    :ivar stale_states: number of states that were shown near a fault after
        a final one of the same workflow
    :ivar refusals: number of submissions that were refused for lack of room
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self.history: list[str] = []
        self.violations: list[str] = []
        self.checks = 0
        self.faults: Counter[str] = Counter()
        self.refusals = 0
        self.stale_states = 0

    def add(self, event: str) -> None:
        """Add an event to the history."""
        now = asyncio.get_running_loop().time()
        self.history.append(f"{now:.3f} {event}")

    def add_fault(self, kind: str, subject: str) -> None:
        """Count a fault and add it to the history."""
        self.faults[kind] += 1
        self.add(f"fault {kind} {subject}")

    def check(self, holds: bool, violation: str) -> None:
        """Count a check and record its violation, if any.

        :param violation: description of the violation
        """
        self.checks += 1
        if not holds:
            self.add(f"VIOLATION {violation}")
            self.violations.append(self.history[-1])
