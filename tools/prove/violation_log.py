"""Record of the checks of a run and the violations they found."""

from __future__ import annotations

import sys
from time import monotonic
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.prove.fault_log import FaultLog

_FAULT_HISTORY_S = 30.0
_MAX_PRINTED_VIOLATIONS = 100


class ViolationLog:
    """Counts checks and prints violations with the preceding faults."""

    def __init__(self, faults: FaultLog) -> None:
        """Create a log without violations.

        :param faults: faults injected in the run
        """
        self._faults = faults
        self._check_count = 0
        self._violations: list[str] = []

    @property
    def check_count(self) -> int:
        """Return the number of recorded checks."""
        return self._check_count

    @property
    def violations(self) -> tuple[str, ...]:
        """Return all violations."""
        return tuple(self._violations)

    def record_check(
        self, holds: bool, text: str, at: float | None = None
    ) -> bool:
        """Count a check; record and print a violation when it failed.

        :param holds: whether the invariant holds
        :param text: description of the violation when it does not hold
        :param at: time of the violation in seconds of the monotonic clock,
            None for now
        :returns: whether the invariant holds
        """
        self._check_count += 1
        if not holds:
            self._record_violation(text, monotonic() if at is None else at)
        return holds

    def _record_violation(self, text: str, at: float) -> None:
        self._violations.append(text)
        if len(self._violations) > _MAX_PRINTED_VIOLATIONS:
            return
        lines = [f"violation: {text}"]
        lines += [
            f"  fault {line}"
            for line in self._faults.format_history(at, _FAULT_HISTORY_S)
        ]
        print("\n".join(lines), file=sys.stderr, flush=True)
