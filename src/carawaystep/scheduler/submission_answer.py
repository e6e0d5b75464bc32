"""Answer to a caller's submission."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from carawaystep.scheduler.retry_schedule import DEFAULT_RETRY_AFTER_S

if TYPE_CHECKING:
    from carawaystep.planner.refusal import Refusal
    from carawaystep.scheduler.call_outcome import CallOutcome


@dataclass(frozen=True, slots=True)
class SubmissionAnswer:
    """Outcome of a submission, and what a refused caller may do.

    :param outcome: the outcome
    :param refusal: why there is no room in time, None for any other cause
    :param retry_after_s: whole seconds after which a refused caller may come
        back
    """

    outcome: CallOutcome
    refusal: Refusal | None = None
    retry_after_s: int = DEFAULT_RETRY_AFTER_S


def refusal_fields(answer: SubmissionAnswer) -> dict[str, str | int | float]:
    """Return the fields of the log that say why there is no room in time."""
    if answer.refusal is None:
        return {}
    return {
        "reason": "no-room-in-time",
        "room_from_s": answer.refusal.room_from_s,
        "latest_start_s": answer.refusal.latest_start_s,
        "retry_after_s": answer.retry_after_s,
    }
