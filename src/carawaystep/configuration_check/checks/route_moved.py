"""Check for routes with a new address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.checks.route_change import (
    describe_new_destination,
)
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


class RouteMovedCheck(RouteChangeCheck):
    """Finds routes whose callers know the former address."""

    code = FindingCode.ROUTE_MOVED
    severity = Severity.WARNING
    advice = "add a second route with the new address and keep this one"

    def _changes(self, kept: KeptRoute) -> Iterator[FieldDetail]:
        before, after = kept.before, kept.after
        old = f"{before.host}{before.path_prefix}"
        new = f"{after.host}{after.path_prefix}"
        if before.host != after.host:
            field = ConfiguredField.HOST
        elif before.path_prefix != after.path_prefix:
            field = ConfiguredField.PATH_PREFIX
        else:
            return
        destination = describe_new_destination(kept.table, before)
        yield FieldDetail(
            field,
            f'"{old}" -> "{new}": calls to the former address, also for'
            f" accepted work, {destination}",
        )
