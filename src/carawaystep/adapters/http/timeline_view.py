"""Body of the reply with an entry's recent events."""

from __future__ import annotations

from pydantic import BaseModel

from carawaystep.adapters.http.timeline_event_view import TimelineEventView


class TimelineView(BaseModel):
    """Recent events, and the current time of the clock that timed them.

    With ``now``, a reader can merge the timelines of several processes, whose
    monotonic clocks differ.
    """

    entry: str
    now: float
    events: list[TimelineEventView]
