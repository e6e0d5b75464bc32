"""Check for services whose work becomes another kind."""

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


class KindChangedCheck(DocumentChangeCheck):
    """Finds services whose callers use calls of the former kind."""

    code = FindingCode.KIND_CHANGED
    severity = Severity.WARNING
    advice = "give the new kind of work a service of its own"

    def _changes(
        self, before: ServiceSpec, after: ServiceSpec
    ) -> Iterator[FieldDetail]:
        if before.kind is not after.kind:
            yield FieldDetail(
                ConfiguredField.KIND,
                f"{before.kind} -> {after.kind}: calls of the former kind are"
                " refused, and replicas of a standing service end",
            )
