"""Ring buffer of timeline events."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from carawaystep.timeline.timeline_event import TimelineEvent

if TYPE_CHECKING:
    from collections.abc import Callable


class EventRing:
    """Ring buffer of the most recent events of one process."""

    def __init__(
        self,
        limit: int,
        listener: Callable[[TimelineEvent], None] | None = None,
    ) -> None:
        """Create an empty ring buffer.

        :param limit: maximum number of events; older ones are dropped
        :param listener: called with each event, for example to log it
        """
        self._events: deque[TimelineEvent] = deque(maxlen=limit)
        self._listener = listener
        self._sequence = 0

    def record(
        self,
        kind: str,
        subject: str,
        now: float,
        **details: str | int | float,
    ) -> None:
        """Record an event and pass it to the listener.

        :param kind: name of the event, such as ``worker.owned``
        :param subject: id of the object that changed
        :param now: current time, seconds of a monotonic clock
        :param details: further values
        """
        self._sequence += 1
        event = TimelineEvent(self._sequence, now, kind, subject, details)
        self._events.append(event)
        if self._listener is not None:
            self._listener(event)

    def since(self, at: float) -> list[TimelineEvent]:
        """Return the events recorded at or after a time, oldest first.

        :param at: seconds of the same monotonic clock
        """
        return [event for event in self._events if event.at >= at]
