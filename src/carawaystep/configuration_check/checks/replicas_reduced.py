"""Check for fewer replicas."""

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


class ReplicasReducedCheck(DocumentChangeCheck):
    """Finds standing services of which running replicas end."""

    code = FindingCode.REPLICAS_REDUCED
    severity = Severity.WARNING
    advice = "make sure that the others can take the load"

    def _changes(
        self, before: ServiceSpec, after: ServiceSpec
    ) -> Iterator[FieldDetail]:
        if before.kind is after.kind and after.replicas < before.replicas:
            yield FieldDetail(
                ConfiguredField.REPLICAS,
                f"{before.replicas} -> {after.replicas}: surplus replicas are"
                " cancelled",
            )
