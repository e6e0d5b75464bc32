"""Event of a timeline."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class TimelineEvent:
    """A change of state in one process.

    :param sequence: sequence number within the process, from 1
    :param at: seconds of the process's monotonic clock
    :param kind: name of the event, such as ``worker.owned`` or
        ``job.assigned``
    :param subject: id of the worker, job, request, document or entry that
        changed
    :param details: further values, strings and numbers only
    """

    sequence: int
    at: float
    kind: str
    subject: str
    details: dict[str, str | int | float] = field(default_factory=dict)
