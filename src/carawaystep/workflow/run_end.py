"""Ways in which runs of tasks end."""

from __future__ import annotations

from enum import StrEnum


class RunEnd(StrEnum):
    """Reason that a worker reports for the end of a run."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
