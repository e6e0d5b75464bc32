"""Check for fewer attempts of jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.checks.document_change import (
    DocumentChangeCheck,
)
from carawaystep.configuration_check.configured_field import ConfiguredField
from carawaystep.configuration_check.field_detail import FieldDetail
from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.severity import Severity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.document.service_spec import ServiceSpec


class JobAttemptsReducedCheck(DocumentChangeCheck):
    """Finds services whose waiting jobs are parked after fewer attempts."""

    code = FindingCode.JOB_ATTEMPTS_REDUCED
    severity = Severity.WARNING
    advice = "keep the number unless early failures are wanted"

    def _changes(
        self, before: ServiceSpec, after: ServiceSpec
    ) -> Iterator[FieldDetail]:
        if after.max_attempts < before.max_attempts:
            yield FieldDetail(
                ConfiguredField.MAX_ATTEMPTS,
                f"{before.max_attempts} -> {after.max_attempts}: jobs, also"
                " waiting ones, are parked earlier and stay parked",
            )
