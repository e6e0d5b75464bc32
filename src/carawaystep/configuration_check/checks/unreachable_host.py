"""Check for hosts that no call can have."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.check import RouteCheck
from carawaystep.configuration_check.configured_field import ConfiguredField
from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.severity import Severity

if TYPE_CHECKING:
    from carawaystep.routing.queue_route import QueueRoute


_PORT_SEPARATOR = ":"


class UnreachableHostCheck(RouteCheck):
    """Finds routes whose host is none that calls are routed by.

    The host of a call is compared without its port.
    """

    code = FindingCode.UNREACHABLE_HOST
    severity = Severity.WARNING
    advice = "write the host name without the port"
    field = ConfiguredField.HOST

    def _find_problem(self, route: QueueRoute, call_timeout_s: float) -> str:
        if _PORT_SEPARATOR not in route.host:
            return ""
        return (
            f'no call matches host "{route.host}", because calls are routed'
            " by the host name without port"
        )
