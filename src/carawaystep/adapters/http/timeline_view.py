"""Recent events of an entry."""

from __future__ import annotations

from pydantic import BaseModel

from carawaystep.adapters.http.timeline_event_view import TimelineEventView


class TimelineView(BaseModel):
    """Events with the present time of the same clock.

    ``now`` lets a reader put events of several processes on one time line.
    """

    entry: str
    now: float
    events: list[TimelineEventView]
