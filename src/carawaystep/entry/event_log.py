"""Log lines for changes of state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    from carawaystep.timeline.timeline_event import TimelineEvent

# One job is a change of state for its team, but at 200 starts a second its
# lines would bury all others; jobs are counted and are on the timeline.
_UNLOGGED_PREFIXES = ("job.",)


def log_event(event: TimelineEvent) -> None:
    """Write one line for an event.

    :param event: an event of the timeline
    """
    if event.kind.startswith(_UNLOGGED_PREFIXES):
        return
    details = " ".join(
        f"{name}={value}" for name, value in event.details.items()
    )
    logging.info("%s %s %s", event.kind, event.subject, details)
