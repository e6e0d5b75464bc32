"""Publication of the leader's forecast of room."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.planner.planner import Planner
    from carawaystep.planner.room_forecast import LaneForecast
    from carawaystep.planner.room_forecast import RoomForecast
    from carawaystep.scheduler.admission import LeaderAdmission
    from carawaystep.scheduler.member_sessions import MemberSessions
    from carawaystep.scheduler.ports import SchedulerPorts

_LaneKey = tuple[str, int, bool]


class RoomPublisher:
    """Makes forecasts, and logs for whom room begins and ceases to lack."""

    def __init__(
        self,
        planner: Planner,
        sessions: MemberSessions,
        admission: LeaderAdmission,
        ports: SchedulerPorts,
    ) -> None:
        """Create a publisher that has published nothing.

        :param planner: makes the forecasts
        :param sessions: sends them to all members
        :param admission: refuses submissions by them at the leader
        :param ports: clock and log
        """
        self._planner = planner
        self._sessions = sessions
        self._admission = admission
        self._ports = ports
        self._full: dict[_LaneKey, LaneForecast] = {}

    def publish(self, now: float) -> None:
        """Make a forecast and send it to all members.

        :param now: current time of the leader's clock in seconds
        """
        wall_now = self._ports.clock.wall_now()
        forecast = self._planner.forecast_room(now, wall_now)
        self._admission.set_forecast(forecast)
        self._sessions.publish_forecast(forecast)
        self._log_changes(forecast)

    def _log_changes(self, forecast: RoomForecast) -> None:
        full = {
            (lane.service, lane.priority, lane.best_effort): lane
            for lane in forecast.lanes
        }
        for key in full.keys() - self._full.keys():
            self._log(full[key], "room.exhausted")
        for key in self._full.keys() - full.keys():
            self._log(self._full[key], "room.available")
        self._full = full

    def _log(self, lane: LaneForecast, event: str) -> None:
        self._ports.log.line(
            event,
            lane.service,
            priority=lane.priority,
            best_effort=lane.best_effort,
            room_from_s=lane.room_from_s,
            largest_cpu=lane.largest_cpu_millis,
        )
