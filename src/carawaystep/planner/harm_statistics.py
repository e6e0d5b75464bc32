"""How long serving tasks were over their targets, and beside what."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class HarmCause(StrEnum):
    """The likeliest best-effort image beside a task over its target.

    ``KNOWN`` images harm the task, ``UNCERTAIN`` ones may, ``HARMLESS`` ones
    do not. ``NONE`` stands for the task's own load.
    """

    KNOWN = "known"
    UNCERTAIN = "uncertain"
    HARMLESS = "harmless"
    NONE = "none"


@dataclass(slots=True)
class HarmStatistics:
    """Sums since the last summary; times are seconds.

    :param known_s: time over the target beside a known cause
    :param uncertain_s: time beside images that may be the cause
    :param harmless_s: time beside harmless images only
    :param none_s: time without best-effort tasks
    :param moved: runs that were stopped to be placed elsewhere
    :param moved_work_s: time that these runs had worked
    """

    known_s: float = 0.0
    uncertain_s: float = 0.0
    harmless_s: float = 0.0
    none_s: float = 0.0
    moved: int = 0
    moved_work_s: float = 0.0

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing was recorded."""
        return self == HarmStatistics()

    def record_over_target(self, cause: HarmCause, seconds: float) -> None:
        """Add time of one serving task over its target."""
        match cause:
            case HarmCause.KNOWN:
                self.known_s += seconds
            case HarmCause.UNCERTAIN:
                self.uncertain_s += seconds
            case HarmCause.HARMLESS:
                self.harmless_s += seconds
            case HarmCause.NONE:
                self.none_s += seconds

    def record_moved(self, worked_s: float) -> None:
        """Add a run that was stopped for harm."""
        self.moved += 1
        self.moved_work_s += worked_s
