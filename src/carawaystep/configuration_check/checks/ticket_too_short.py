"""Check for tickets that end before they can be used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.check import RouteCheck
from carawaystep.configuration_check.configured_field import ConfiguredField
from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.severity import Severity

if TYPE_CHECKING:
    from carawaystep.routing.queue_route import QueueRoute


_ONE_WORKER = 1


class TicketTooShortCheck(RouteCheck):
    """Finds queues of which no task can start with a valid ticket."""

    code = FindingCode.TICKET_TOO_SHORT
    severity = Severity.ERROR
    advice = "lengthen the validity beyond the time of the decision"
    field = ConfiguredField.TICKET_VALIDITY

    def _find_problem(self, route: QueueRoute, call_timeout_s: float) -> str:
        terms = route.ticket_terms
        if terms is None:
            return ""
        response_s = terms.response_s(_ONE_WORKER)
        if terms.validity_s > response_s:
            return ""
        return (
            f"a ticket is valid for {terms.validity_s:g} s, and the decision"
            f" takes {response_s:g} s for one worker"
        )
