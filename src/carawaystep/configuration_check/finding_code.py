"""Codes of findings."""

from __future__ import annotations

from enum import StrEnum


class FindingCode(StrEnum):
    """Names of the kinds of findings, which scripts rely on."""

    NOT_JSON = "not-json"
    MISSING_FIELD = "missing-field"
    WRONG_TYPE = "wrong-type"
    OUT_OF_RANGE = "out-of-range"
    INVALID_WORK = "invalid-work"
    DUPLICATE_ROUTE = "duplicate-route"
    DUPLICATE_SERVICE = "duplicate-service"
    UNKNOWN_SERVICE = "unknown-service"
    VERSION_NOT_RAISED = "version-not-raised"
    SHADOWED_ROUTE = "shadowed-route"
    UNREACHABLE_HOST = "unreachable-host"
    UNREACHABLE_PREFIX = "unreachable-prefix"
    SERVICE_WITHOUT_WORKERS = "service-without-workers"
    LABEL_WITHOUT_WORKERS = "label-without-workers"
    SIZE_WITHOUT_WORKERS = "size-without-workers"
    OBJECTIVE_OVER_TIMEOUT = "objective-over-timeout"
    TICKET_TOO_SHORT = "ticket-too-short"
    NO_ATTEMPTS = "no-attempts"
    BODY_LIMIT_TOO_SMALL = "body-limit-too-small"
    STRETCH_BELOW_ONE = "stretch-below-one"
    UNMEETABLE_DEADLINE = "unmeetable-deadline"
    ROUTE_ADDED = "route-added"
    ROUTE_REMOVED = "route-removed"
    ROUTE_MOVED = "route-moved"
    ROUTE_CHANGED = "route-changed"
    SERVICE_CHANGED = "service-changed"
    ATTEMPTS_REDUCED = "attempts-reduced"
    TICKETS_CHANGED = "tickets-changed"
    LIMIT_CHANGED = "limit-changed"
    BODY_LIMIT_LOWERED = "body-limit-lowered"
