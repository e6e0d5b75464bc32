"""Amount of load of a load generator."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Rate and limits of the requests of a load generator.

    :param callers: concurrent callers
    :param pause_s: pause of each caller between two requests
    :param duration_s: time after which no new request is sent
    :param max_requests: number of requests to send at most
    :param repeat_every: interval of duplicates: of this many non-idempotent
        requests, one is sent through two entries
    :param resend_after_s: delay after which a non-idempotent request that was
        not answered is sent once more with the same key, None for never
    """

    callers: int
    pause_s: float
    duration_s: float
    max_requests: int = 10_000
    repeat_every: int = 5
    resend_after_s: float | None = None
