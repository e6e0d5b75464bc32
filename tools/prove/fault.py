"""One fault of a schedule."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.prove.fault_kind import FaultKind


@dataclass(frozen=True, slots=True)
class Fault:
    """Kind, target, time and strength of a fault.

    :param kind: effect on the target
    :param start_s: seconds from the start of the injection
    :param duration_s: time until it is undone
    :param target: entry, availability zone, worker, service or relay; the
        platform, or "jobs" for all jobs
    :param magnitude: delay or lag in seconds, or number of lost answers
    :param affected_names: entries and workers, or "platform", that it affects
    """

    kind: FaultKind
    start_s: float
    duration_s: float
    target: str
    magnitude: float = 0.0
    affected_names: frozenset[str] = frozenset()
