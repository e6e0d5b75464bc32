"""Time limits of a response body that arrives slowly."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BodyTimeout:
    """How long a call may go on after its response has begun.

    Abandoning a body that is still arriving wastes what was transferred, and
    a repeated call transfers the same bytes again.

    :param pause_s: seconds within which the next part of the body must arrive
    :param total_s: seconds within which the whole body must arrive
    """

    pause_s: float
    total_s: float
