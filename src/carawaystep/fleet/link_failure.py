"""Failures of report calls to workers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinkFailure:
    """A call to a worker that returned no report.

    :param detail: cause of the failure, for logs
    :param fenced: True when the worker has seen a higher fencing token
    :param other_lifetime: True when another lifetime of the worker answered
    """

    detail: str
    fenced: bool = False
    other_lifetime: bool = False
