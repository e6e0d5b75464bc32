"""Check for routes that use other workers."""

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


class ServiceChangedCheck(RouteChangeCheck):
    """Finds routes whose accepted work needs the workers of two services."""

    code = FindingCode.SERVICE_CHANGED
    severity = Severity.WARNING
    advice = "keep the former workers until the accepted work has ended"

    def _changes(self, kept: KeptRoute) -> Iterator[FieldDetail]:
        if kept.before.service != kept.after.service:
            yield FieldDetail(
                ConfiguredField.SERVICE,
                f'"{kept.before.service}" -> "{kept.after.service}":'
                " accepted work stays with the former service",
            )
