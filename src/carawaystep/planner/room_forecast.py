"""Forecast of the room for further submissions."""

from __future__ import annotations

import msgspec


class LaneForecast(msgspec.Struct, array_like=True, frozen=True):
    """Room for the submissions of one service, priority and kind of step.

    :param service: service whose workers run the tasks
    :param priority: highest priority of the submissions, 0 is the highest of
        all; the lane holds for lower ones too, up to the next lane
    :param best_effort: whether it is for steps that use only idle CPU
    :param room_from_s: seconds after the forecast for which accepted work
        that goes before any new submission takes all of the CPU
    :param largest_cpu_millis: CPU of the largest task that waits; a smaller
        one may find a gap, thousandths of a core
    """

    service: str
    priority: int
    best_effort: bool
    room_from_s: float
    largest_cpu_millis: int


class RoomForecast(msgspec.Struct, array_like=True, frozen=True):
    """What a leader knows about the room for further submissions.

    :param made_at: when it was made, seconds of the leader's clock
    :param lanes: those without room; any other submission may find some
    :param shortest_run_ratios: lowest ratio of the real to the declared run
        time of a task, by queue
    """

    made_at: float
    lanes: tuple[LaneForecast, ...] = ()
    shortest_run_ratios: dict[str, float] = {}

    def lane(
        self, service: str, priority: int, best_effort: bool
    ) -> LaneForecast | None:
        """Return the lane of a submission, None if it may find room."""
        lanes = [
            lane
            for lane in self.lanes
            if (lane.service, lane.best_effort) == (service, best_effort)
            and lane.priority <= priority
        ]
        return max(lanes, key=lambda lane: lane.priority, default=None)
