"""Check for queues that begin or cease to need tickets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.checks.route_change import (
    RouteChangeCheck,
)
from carawaystep.configuration_check.configured_field import ConfiguredField
from carawaystep.configuration_check.field_detail import FieldDetail
from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.severity import Severity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.configuration_check.checks.route_change import KeptRoute


class TicketsChangedCheck(RouteChangeCheck):
    """Finds routes whose waiting work is started in another way at once."""

    code = FindingCode.TICKETS_CHANGED
    severity = Severity.WARNING
    advice = "make sure that the placement service and the workers agree"

    def _changes(self, kept: KeptRoute) -> Iterator[FieldDetail]:
        before, after = kept.before.ticket_terms, kept.after.ticket_terms
        if before is None and after is not None:
            detail = "starts need tickets from now on, also of waiting work"
        elif before is not None and after is None:
            detail = (
                "starts carry no tickets from now on, also of waiting work;"
                " workers that need one refuse them"
            )
        else:
            return
        yield FieldDetail(ConfiguredField.TICKET_TERMS, detail)
