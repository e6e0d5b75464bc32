"""One event of the time line."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class TimelineEvent:
    """A change of state in one process.

    :param sequence: number within the process, from 1
    :param at: monotonic time of the process in seconds
    :param kind: such as ``worker.owned`` or ``job.assigned``
    :param subject: worker, job, request, document or entry concerned
    :param details: further values, strings and numbers only
    """

    sequence: int
    at: float
    kind: str
    subject: str
    details: dict[str, str | int | float] = field(default_factory=dict)
