"""Result of a run, printed as one JSON line."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
import json


@dataclass(frozen=True, slots=True)
class Summary:
    """Counters and result of a run.

    :param seed: seed of the run
    :param seconds: duration of the load and of the fault injection
    :param steps: number of calls, accepted jobs, edits, entry snapshots and
        faults
    :param faults: number of faults by kind
    :param checks: number of checks
    :param violations: number of failed checks
    :param calls: number of calls by outcome
    :param jobs: number of jobs by last known state
    :param cancellations: cancellations that entries accepted
    :param edits: edits that entries accepted
    :param slowest_takeover_s: longest time from the kill of an entry until a
        worker of it had a new owner
    :param forced: processes that needed SIGKILL at the end
    :param error: why the run was aborted, None when it was complete
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
        """Tell whether the run was complete, with answers and no violation."""
        return (
            self.error is None
            and self.violations == 0
            and self.checks > 0
            and self.calls.get("answered", 0) > 0
        )

    def to_json_line(self) -> str:
        """Return the summary as one line of JSON."""
        return json.dumps(asdict(self))
