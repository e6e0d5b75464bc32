"""Log lines for timeline events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    from carawaystep.timeline.timeline_event import TimelineEvent

# At 200 job starts a second, lines for single jobs would hide all others. Job
# events are counted and recorded on the timeline instead.
_UNLOGGED_PREFIXES = ("job.",)


def log_event(event: TimelineEvent) -> None:
    """Log an event in one line, unless it concerns a single job.

    :param event: event of the timeline
    """
    if event.kind.startswith(_UNLOGGED_PREFIXES):
        return
    details = " ".join(
        f"{name}={value}" for name, value in event.details.items()
    )
    logging.info("%s %s %s", event.kind, event.subject, details)
