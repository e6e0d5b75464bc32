"""A task in a worker's report that has ended."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.worker.execution_end import ExecutionEnd


@dataclass(frozen=True, slots=True)
class EndedTask:
    """A task that certainly no longer runs.

    :param sequence: sequence number of the end among the worker's events
    :param id: job id
    :param attempt: attempt number
    :param how: how it ended
    :param checkpoint: object key of its last checkpoint, or None
    :param detail: reason for a failure, else empty
    """

    sequence: int
    id: str
    attempt: int
    how: ExecutionEnd
    checkpoint: str | None
    detail: str
