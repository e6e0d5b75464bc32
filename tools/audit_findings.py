"""Violations found by a ledger audit."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AuditFindings:
    """Describes each violation in one sentence.

    :param executed_twice: requests, keys and jobs that ran more than once
    :param overcommitted: limits of workers that were exceeded
    :param disagreements: outcomes told to callers that the ledgers
        contradict
    """

    executed_twice: tuple[str, ...]
    overcommitted: tuple[str, ...]
    disagreements: tuple[str, ...]

    @property
    def all(self) -> tuple[str, ...]:
        """Return all violations."""
        return self.executed_twice + self.overcommitted + self.disagreements
