"""How an execution on a worker ended."""

from __future__ import annotations

from enum import StrEnum


class ExecutionEnd(StrEnum):
    """How an execution ended; reported for tasks, not for requests.

    ``EVICTED`` means stopped after a checkpoint, ``LAPSED`` that its lease
    expired, and ``STOPPED`` stopped without a checkpoint.
    """

    DONE = "done"
    FAILED = "failed"
    EVICTED = "evicted"
    LAPSED = "lapsed"
    STOPPED = "stopped"
