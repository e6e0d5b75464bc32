"""Failures of calls to a worker, returned as values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkerFailure:
    """A call that returned no result.

    :param detail: description for logs and error bodies
    """

    detail: str


@dataclass(frozen=True, slots=True)
class WorkerRefused(WorkerFailure):
    """The call had no effect: it was refused, or was never sent.

    :param token_refused: True if the worker refused the fencing token
    :param leaving: True if the worker is leaving the fleet
    """

    token_refused: bool = False
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class WorkerFailed(WorkerFailure):
    """The worker ran a request, and its execution failed."""


@dataclass(frozen=True, slots=True)
class WorkerOutcomeUnknown(WorkerFailure):
    """No complete answer arrived; the call may have taken effect."""
