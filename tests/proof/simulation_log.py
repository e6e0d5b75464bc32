"""What a proof has seen."""

from __future__ import annotations

import asyncio
from collections import Counter


class SimulationLog:
    """Counts steps, faults and checks, and keeps violations."""

    def __init__(self) -> None:
        """Create an empty log."""
        self.steps = 0
        self.checks = 0
        self.faults: Counter[str] = Counter()
        self.violations: list[str] = []
        self.history: list[str] = []

    def record_fault(self, kind: str, subject: str) -> None:
        """Count a fault."""
        self.faults[kind] += 1
        now = asyncio.get_running_loop().time()
        self.history.append(f"{now:.2f} {kind} {subject}")

    def check(self, holds: bool, violation: str) -> None:
        """Count a check and keep its violation."""
        self.checks += 1
        if not holds:
            now = asyncio.get_running_loop().time()
            self.violations.append(f"{now:.2f} {violation}")
