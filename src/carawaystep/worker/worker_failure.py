"""Failures of calls to a worker, as values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkerFailure:
    """A call that gave no result.

    :param detail: sentence for logs and error bodies
    """

    detail: str


@dataclass(frozen=True, slots=True)
class WorkerRefused(WorkerFailure):
    """The worker refused, or nothing was sent: it certainly did not run.

    :param stale_epoch: True when the worker knows a higher epoch
    :param leaving: True when the worker is leaving the fleet
    """

    stale_epoch: bool = False
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class WorkerFailed(WorkerFailure):
    """The worker ran a request to its end, and it failed."""


@dataclass(frozen=True, slots=True)
class WorkerUnknown(WorkerFailure):
    """No whole answer came: the call may have taken effect."""
