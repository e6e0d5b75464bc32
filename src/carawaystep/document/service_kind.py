"""Kinds of services."""

from __future__ import annotations

from enum import StrEnum


class ServiceKind(StrEnum):
    """What a service's work looks like."""

    LATENCY_CRITICAL = "latency-critical"
    BATCH = "batch"
    STANDING = "standing"
