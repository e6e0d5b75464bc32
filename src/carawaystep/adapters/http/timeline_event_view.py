"""Timeline event in replies to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import BaseModel

if TYPE_CHECKING:
    from carawaystep.timeline.timeline_event import TimelineEvent


class TimelineEventView(BaseModel):
    """One event of an entry's timeline; see :class:`TimelineEvent`."""

    sequence: int
    at: float
    kind: str
    subject: str
    details: dict[str, str | int | float]

    @classmethod
    def from_event(cls, event: TimelineEvent) -> TimelineEventView:
        """Return the view of an event."""
        return cls(
            sequence=event.sequence,
            at=event.at,
            kind=event.kind,
            subject=event.subject,
            details=event.details,
        )
