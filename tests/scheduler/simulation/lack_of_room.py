"""Variants of the scheduler that has no room every other second."""

from __future__ import annotations

from contextlib import contextmanager
from contextlib import ExitStack
from typing import TYPE_CHECKING
from unittest.mock import patch

from carawaystep.planner.room_forecast import LaneForecast
from carawaystep.planner.room_forecast import RoomForecast
from carawaystep.planner.room_forecaster import RoomForecaster
from carawaystep.scheduler.load_settings import LoadSettings
from carawaystep.scheduler.member_calls import MemberCalls
from tests.scheduler.simulation import simulated_node

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.cluster.messages import Submit
    from carawaystep.planner.refusal import Refusal

_FULL = LaneForecast("desk", 0, False, 60.0, 0)


@contextmanager
def lack_of_room() -> Iterator[None]:
    """Turn admission on, with forecasts that refuse any new submission."""

    def forecast(
        forecaster: RoomForecaster, workers: object, now: float, wall: float
    ) -> RoomForecast:
        return RoomForecast(now, (_FULL,) if int(now) % 2 else ())

    load = LoadSettings(admission=True)
    with ExitStack() as stack:
        stack.enter_context(patch.object(RoomForecaster, "forecast", forecast))
        stack.enter_context(patch.object(simulated_node, "LOAD", load))
        yield


@contextmanager
def refuse_what_is_admitted() -> Iterator[None]:
    """Let the leader admit what it refuses."""
    find_refusal = MemberCalls._find_refusal

    def admit_and_refuse(
        calls: MemberCalls, message: Submit, now: float
    ) -> Refusal | None:
        refusal = find_refusal(calls, message, now)
        if refusal is not None:
            calls._planner.admit(message.spec, stored=False)
        return refusal

    with (
        lack_of_room(),
        patch.object(MemberCalls, "_find_refusal", admit_and_refuse),
    ):
        yield
