"""Check for changes that can be taken back."""

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
    from carawaystep.routing.ticket_terms import TicketTerms


_NEW_WORK_ONLY = "new work only; accepted work keeps what it has"
_WAITING_WORK = "also waiting work, from its next request for tickets"
_OUTSIDE = "callers only; nothing here reads it"


class RouteChangedCheck(RouteChangeCheck):
    """Names the changes that another version can take back."""

    code = FindingCode.ROUTE_CHANGED
    severity = Severity.NOTICE
    advice = "a later version can take it back"

    def _changes(self, kept: KeptRoute) -> Iterator[FieldDetail]:
        before, after = kept.before, kept.after
        if before.priority != after.priority:
            yield _change(
                ConfiguredField.PRIORITY,
                before.priority,
                after.priority,
                _NEW_WORK_ONLY,
            )
        if before.max_attempts < after.max_attempts:
            yield _change(
                ConfiguredField.MAX_ATTEMPTS,
                before.max_attempts,
                after.max_attempts,
                _NEW_WORK_ONLY,
            )
        if before.stretch != after.stretch:
            yield _change(
                ConfiguredField.STRETCH,
                before.stretch,
                after.stretch,
                _NEW_WORK_ONLY,
            )
        if before.objective_s != after.objective_s:
            yield _change(
                ConfiguredField.OBJECTIVE,
                before.objective_s,
                after.objective_s,
                _NEW_WORK_ONLY,
                " s",
            )
        if kept.timeout_before_s != kept.timeout_after_s:
            yield _change(
                ConfiguredField.CALL_TIMEOUT,
                kept.timeout_before_s,
                kept.timeout_after_s,
                _OUTSIDE,
                " s",
            )
        yield from _ticket_changes(before.ticket_terms, after.ticket_terms)


def _change(
    field: ConfiguredField,
    before: float,
    after: float,
    affects: str,
    unit: str = "",
) -> FieldDetail:
    detail = f"{before:.10g}{unit} -> {after:.10g}{unit}: affects {affects}"
    return FieldDetail(field, detail)


def _ticket_changes(
    before: TicketTerms | None, after: TicketTerms | None
) -> Iterator[FieldDetail]:
    if before is None or after is None or before == after:
        return
    old = (
        f"{before.validity_s:g}/{before.decision_s:g}/{before.per_worker_s:g}"
    )
    new = f"{after.validity_s:g}/{after.decision_s:g}/{after.per_worker_s:g}"
    yield FieldDetail(
        ConfiguredField.TICKET_TERMS,
        f"{old} s -> {new} s (validity, decision, for each worker): affects"
        f" {_WAITING_WORK}",
    )
