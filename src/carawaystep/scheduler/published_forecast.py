"""The leader's forecast of room as a member knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.planner.room_forecast import RoomForecast

# A forecast that may be older decides nothing.
MAX_FORECAST_AGE_S = 2.0


class PublishedForecast:
    """The last forecast of the leader that a member follows, and its age.

    The age is measured on the member's clock from the heartbeat that the
    leader echoed along with the forecast. A forecast that was delayed on
    its way, or is read after the machine was suspended, is thus not taken
    for a new one.
    """

    def __init__(self) -> None:
        """Create an object without a forecast."""
        self._forecast: RoomForecast | None = None
        self._made_at = 0.0

    def start_term(self) -> None:
        """Forget the forecast of another leader."""
        self._forecast = None

    def replace(
        self, forecast: RoomForecast, sent_at: float, echoed_timestamp: float
    ) -> None:
        """Replace the forecast.

        :param forecast: the forecast
        :param sent_at: time of the leader's clock when it was sent
        :param echoed_timestamp: time of the member's clock that the leader
            knew then, 0 if none
        """
        age_when_sent_s = max(0.0, sent_at - forecast.made_at)
        self._forecast = forecast
        self._made_at = echoed_timestamp - age_when_sent_s

    def current(self, now: float) -> tuple[RoomForecast, float] | None:
        """Return the forecast and its age, None without a recent one.

        A time that is still to come is that of a replaced VM.

        :param now: current time of the member's clock in seconds
        """
        age_s = now - self._made_at
        if self._forecast is None or not 0 <= age_s <= MAX_FORECAST_AGE_S:
            return None
        return self._forecast, age_s
