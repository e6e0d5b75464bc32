"""One fault of a schedule."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.prove.fault_kind import FaultKind


@dataclass(frozen=True, slots=True)
class Fault:
    """What happens to whom, when and for how long.

    :param kind: what happens
    :param start_s: start, seconds after the start of the run
    :param length_s: length, seconds
    :param target: entry, availability zone, worker, service or relay
    :param amount: delay or lag in seconds, or number of lost answers
    :param touches: entries and workers, or "platform", that it disturbs
    """

    kind: FaultKind
    start_s: float
    length_s: float
    target: str
    amount: float = 0.0
    touches: frozenset[str] = frozenset()
