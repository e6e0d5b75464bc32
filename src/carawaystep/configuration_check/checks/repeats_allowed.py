"""Check for requests that may be repeated from now on."""

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


class RepeatsAllowedCheck(DocumentChangeCheck):
    """Finds services whose requests may run twice from now on."""

    code = FindingCode.REPEATS_ALLOWED
    severity = Severity.WARNING
    advice = "change it only if a second run has no effect"

    def _changes(
        self, before: ServiceSpec, after: ServiceSpec
    ) -> Iterator[FieldDetail]:
        if after.idempotent and not before.idempotent:
            yield FieldDetail(
                ConfiguredField.IDEMPOTENT,
                "new requests may run twice, and a second run cannot be taken"
                " back",
            )
