"""An event as operators see it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import BaseModel

if TYPE_CHECKING:
    from carawaystep.timeline.timeline_event import TimelineEvent


class TimelineEventView(BaseModel):
    """One event."""

    sequence: int
    at: float
    kind: str
    subject: str
    details: dict[str, str | int | float]

    @classmethod
    def of(cls, event: TimelineEvent) -> TimelineEventView:
        """Return the view of an event."""
        return cls(
            sequence=event.sequence,
            at=event.at,
            kind=event.kind,
            subject=event.subject,
            details=event.details,
        )
