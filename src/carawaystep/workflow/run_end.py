"""Ways in which runs of tasks end."""

from __future__ import annotations

from enum import StrEnum


class RunEnd(StrEnum):
    """Reason that a worker reports for the end of a run.

    ``DONE`` completes the task. After any other value, and for a long-running
    task after every value, the task waits for its next run. Only ``FAILED``
    counts as an attempt, and not for long-running tasks. ``STOPPED`` follows
    a stop order, ``LAPSED`` the expiry of the lease. ``BROKEN`` and ``ALONE``
    are handled like ``STOPPED``.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
