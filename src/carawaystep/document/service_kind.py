"""Kinds of services."""

from __future__ import annotations

from enum import StrEnum


class ServiceKind(StrEnum):
    """How the work of a service arrives.

    ``LATENCY_CRITICAL`` services answer requests of waiting callers,
    ``BATCH`` services run submitted jobs to completion, and ``STANDING``
    services keep a number of replicas running.
    """

    LATENCY_CRITICAL = "latency-critical"
    BATCH = "batch"
    STANDING = "standing"
