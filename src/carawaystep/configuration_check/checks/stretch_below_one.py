"""Check for stretches under 1."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.check import RouteCheck
from carawaystep.configuration_check.configured_field import ConfiguredField
from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.severity import Severity

if TYPE_CHECKING:
    from carawaystep.routing.queue_route import QueueRoute


class StretchBelowOneCheck(RouteCheck):
    """Finds queues whose work is due before its declared run time is over."""

    code = FindingCode.STRETCH_BELOW_ONE
    severity = Severity.WARNING
    advice = "write a stretch of at least 1"
    field = ConfiguredField.STRETCH

    def _find_problem(self, route: QueueRoute, call_timeout_s: float) -> str:
        if route.stretch >= 1:
            return ""
        longest_s = route.objective_s / (1 - route.stretch)
        return (
            f"with a stretch of {route.stretch:g} only work of at most"
            f" {longest_s:g} s can be on time"
        )
