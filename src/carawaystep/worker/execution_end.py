"""How an execution on a worker ended."""

from __future__ import annotations

from enum import StrEnum


class ExecutionEnd(StrEnum):
    """Ways in which a task ends, as its worker reports them."""

    DONE = "done"
    FAILED = "failed"
    EVICTED = "evicted"
    LAPSED = "lapsed"
    STOPPED = "stopped"
