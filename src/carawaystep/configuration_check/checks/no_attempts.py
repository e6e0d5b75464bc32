"""Check for tasks without an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.check import RouteCheck
from carawaystep.configuration_check.configured_field import ConfiguredField
from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.severity import Severity

if TYPE_CHECKING:
    from carawaystep.routing.queue_route import QueueRoute


class NoAttemptsCheck(RouteCheck):
    """Finds queues whose tasks are allowed no attempt."""

    code = FindingCode.NO_ATTEMPTS
    severity = Severity.WARNING
    advice = "write 1 for a single attempt, or more"
    field = ConfiguredField.MAX_ATTEMPTS

    def _find_problem(self, route: QueueRoute, call_timeout_s: float) -> str:
        if route.max_attempts > 0:
            return ""
        return "0 attempts are allowed, and a task gets one all the same"
