"""How much load a generator makes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Bounds of a load generator.

    :param callers: callers that send at the same time
    :param pause_s: pause of a caller after each request
    :param duration_s: after this time no request begins
    :param max_requests: after this number no request begins
    :param repeat_every: every so many non-idempotent requests one is sent
        through two entries
    :param resend_after_s: after this time a non-idempotent request that was
        not answered is sent once more with the same key, None for never
    """

    callers: int
    pause_s: float
    duration_s: float
    max_requests: int = 10_000
    repeat_every: int = 5
    resend_after_s: float | None = None
