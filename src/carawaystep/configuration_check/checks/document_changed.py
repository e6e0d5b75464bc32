"""Check for changes of documents that can be taken back."""

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
    from collections.abc import Callable
    from collections.abc import Iterator

    from carawaystep.document.service_spec import ServiceSpec

_WAITING_JOBS = "also waiting jobs"
_NEW_WORK_ONLY = "new work only"

_Value = float | str
_FIELDS: tuple[
    tuple[ConfiguredField, Callable[[ServiceSpec], _Value], str], ...
] = (
    (ConfiguredField.TEAM, lambda spec: spec.team, "who may call it"),
    (ConfiguredField.URGENCY, lambda spec: spec.urgency, _WAITING_JOBS),
    (ConfiguredField.CPU, lambda spec: spec.needs.cpu, _WAITING_JOBS),
    (
        ConfiguredField.MEMORY,
        lambda spec: spec.needs.memory_mb,
        _WAITING_JOBS,
    ),
    (
        ConfiguredField.ACCELERATORS,
        lambda spec: spec.needs.accelerators,
        _WAITING_JOBS,
    ),
    (ConfiguredField.RUN_TIME, lambda spec: spec.run_s or 0, _NEW_WORK_ONLY),
    (ConfiguredField.DUE_TIME, lambda spec: spec.due_s, _NEW_WORK_ONLY),
    (
        ConfiguredField.REQUEST_DEADLINE,
        lambda spec: spec.deadline_s,
        _NEW_WORK_ONLY,
    ),
    (
        ConfiguredField.QUEUE_LIMIT,
        lambda spec: spec.queue_limit,
        _NEW_WORK_ONLY,
    ),
    (
        ConfiguredField.MAX_BODY,
        lambda spec: spec.max_body_bytes,
        _NEW_WORK_ONLY,
    ),
)


class DocumentChangedCheck(DocumentChangeCheck):
    """Names the changes that another version can take back.

    The opposite changes of attempts, replicas and idempotence have checks of
    their own.
    """

    code = FindingCode.DOCUMENT_CHANGED
    severity = Severity.NOTICE
    advice = "a later version can take it back"

    def _changes(
        self, before: ServiceSpec, after: ServiceSpec
    ) -> Iterator[FieldDetail]:
        for field, value_of, affects in _FIELDS:
            old, new = value_of(before), value_of(after)
            if old != new:
                yield FieldDetail(
                    field,
                    f"{_shown(old)} -> {_shown(new)}: affects {affects}",
                )
        if before.max_attempts < after.max_attempts:
            yield FieldDetail(
                ConfiguredField.MAX_ATTEMPTS,
                f"{before.max_attempts} -> {after.max_attempts}: affects"
                f" {_WAITING_JOBS}",
            )
        if before.kind is after.kind and before.replicas < after.replicas:
            yield FieldDetail(
                ConfiguredField.REPLICAS,
                f"{before.replicas} -> {after.replicas}: more replicas start",
            )
        if before.idempotent and not after.idempotent:
            yield FieldDetail(
                ConfiguredField.IDEMPOTENT,
                "new requests need a key and run at most once",
            )


def _shown(value: _Value) -> str:
    return value if isinstance(value, str) else f"{value:.10g}"
