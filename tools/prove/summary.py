"""The result of a run as one JSON line."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
import json


@dataclass(frozen=True, slots=True)
class Summary:
    """Counts of a run.

    :param seed: seed of the schedule
    :param seconds: length of the load and the faults
    :param steps: calls, accepted jobs, edits, sightings and faults
    :param faults: faults of each kind
    :param checks: number of checks
    :param violations: number of violations
    :param calls: calls of each outcome
    :param jobs: jobs in each last known state
    :param cancellations: cancellations that entries accepted
    :param edits: accepted edits
    :param slowest_takeover_s: longest time without an owner that was seen
    :param forced: processes that had to be killed at the end
    :param error: why the run was cut short
    """

    seed: int
    seconds: float
    steps: int = 0
    faults: dict[str, int] = field(default_factory=dict)
    checks: int = 0
    violations: int = 0
    calls: dict[str, int] = field(default_factory=dict)
    jobs: dict[str, int] = field(default_factory=dict)
    cancellations: int = 0
    edits: int = 0
    slowest_takeover_s: float = 0.0
    forced: int = 0
    error: str | None = None

    @property
    def passed(self) -> bool:
        """Tell whether the run was complete and without violations."""
        return (
            self.error is None
            and self.violations == 0
            and self.checks > 0
            and self.calls.get("answered", 0) > 0
        )

    def line(self) -> str:
        """Return the JSON line."""
        return json.dumps(asdict(self))
