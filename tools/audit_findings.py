"""Violations that an audit found."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AuditFindings:
    """One sentence for each violation.

    :param executed_twice: requests, keys and jobs that ran more than once
    :param overcommitted: limits of workers that were exceeded
    :param disagreements: callers that were told something untrue
    """

    executed_twice: tuple[str, ...]
    overcommitted: tuple[str, ...]
    disagreements: tuple[str, ...]

    @property
    def all(self) -> tuple[str, ...]:
        """Return every sentence."""
        return self.executed_twice + self.overcommitted + self.disagreements
