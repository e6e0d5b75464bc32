"""Refusal of a submission that cannot be of use, and its bounds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from carawaystep.planner.room_forecast import RoomForecast
    from carawaystep.workflow.workflow_spec import WorkflowSpec


class Refusal(msgspec.Struct, array_like=True, frozen=True):
    """Why a submission surely cannot be finished while it is of use.

    :param room_from_s: seconds before which none of its tasks can start
    :param latest_start_s: seconds after which a start is too late for an end
        that is of use, below :attr:`room_from_s`
    """

    room_from_s: float
    latest_start_s: float


def find_refusal(
    spec: WorkflowSpec, forecast: RoomForecast, age_s: float, waited_s: float
) -> Refusal | None:
    """Return why a submission is to be refused, None if it is not.

    Long-running and scheduled submissions are never refused, because their
    use does not end, or begins later. Neither are those of which a task may
    fit in a gap.

    :param spec: a submission that is not stored
    :param forecast: forecast of the current leader
    :param age_s: age of the forecast in seconds
    :param waited_s: seconds since the first attempt to submit it
    """
    if not forecast.lanes or spec.long_running or spec.scheduled:
        return None
    if any(step.fills != spec.steps[0].fills for step in spec.steps):
        return None
    lane = forecast.lane(spec.service, spec.priority, spec.best_effort)
    if lane is None:
        return None
    if any(s.cpu_millis < lane.largest_cpu_millis for s in spec.steps):
        return None
    ratio = forecast.shortest_run_ratios.get(spec.queue, 0.0)
    shortest_run_s = ratio * spec.critical_path_s()
    latest_start_s = spec.useful_duration_s - shortest_run_s - waited_s
    room_from_s = lane.room_from_s - age_s
    if room_from_s <= latest_start_s:
        return None
    return Refusal(room_from_s, latest_start_s)
