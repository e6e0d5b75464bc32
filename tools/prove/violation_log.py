"""Violations that the checks of a run found."""

from __future__ import annotations

import sys
from time import monotonic
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.prove.fault_log import FaultLog

_HISTORY_S = 30.0
_MAX_PRINTED = 100


class ViolationLog:
    """Counts checks and prints each violation with the faults before it."""

    def __init__(self, faults: FaultLog) -> None:
        """Create a log without violations.

        :param faults: faults of the run
        """
        self._faults = faults
        self._checks = 0
        self._violations: list[str] = []

    @property
    def checks(self) -> int:
        """Return the number of checks."""
        return self._checks

    @property
    def violations(self) -> tuple[str, ...]:
        """Return all violations."""
        return tuple(self._violations)

    def check(self, holds: bool, text: str, at: float | None = None) -> bool:
        """Count a check, and report a violation when it does not hold.

        :param holds: whether the invariant holds
        :param text: what was seen when it does not
        :param at: time of the violation, None for now
        :returns: whether it holds
        """
        self._checks += 1
        if not holds:
            self._report(text, monotonic() if at is None else at)
        return holds

    def _report(self, text: str, at: float) -> None:
        self._violations.append(text)
        if len(self._violations) > _MAX_PRINTED:
            return
        lines = [f"violation: {text}"]
        lines += [
            f"  fault {line}" for line in self._faults.history(at, _HISTORY_S)
        ]
        print("\n".join(lines), file=sys.stderr, flush=True)
