"""Check for objectives longer than the time-out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.check import RouteCheck
from carawaystep.configuration_check.configured_field import ConfiguredField
from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.severity import Severity

if TYPE_CHECKING:
    from carawaystep.routing.queue_route import QueueRoute


class ObjectiveOverTimeoutCheck(RouteCheck):
    """Finds queues whose calls end before their work is due."""

    code = FindingCode.OBJECTIVE_OVER_TIMEOUT
    severity = Severity.WARNING
    advice = "shorten the objective or lengthen the time-out"
    field = ConfiguredField.OBJECTIVE

    def _find_problem(self, route: QueueRoute, call_timeout_s: float) -> str:
        if not 0 < call_timeout_s < route.objective_s:
            return ""
        return (
            f"the objective of {route.objective_s:g} s is longer than the"
            f" time-out of {call_timeout_s:g} s"
        )
