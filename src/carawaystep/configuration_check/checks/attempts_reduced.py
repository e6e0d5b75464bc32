"""Check for fewer attempts."""

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


class AttemptsReducedCheck(RouteChangeCheck):
    """Finds routes whose work fails after fewer attempts."""

    code = FindingCode.ATTEMPTS_REDUCED
    severity = Severity.WARNING
    advice = "keep the number unless early failures are wanted"

    def _changes(self, kept: KeptRoute) -> Iterator[FieldDetail]:
        before, after = kept.before.max_attempts, kept.after.max_attempts
        if after < before:
            yield FieldDetail(
                ConfiguredField.MAX_ATTEMPTS,
                f"{before} -> {after}: new work fails earlier and stays"
                " failed; accepted work keeps its attempts",
            )
