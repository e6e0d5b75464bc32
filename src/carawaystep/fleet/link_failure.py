"""Failures of calls to workers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinkFailure:
    """A call that brought no report.

    :param detail: sentence for logs
    :param fenced: True when the worker has seen a higher token
    :param other_lifetime: True when another lifetime answered
    """

    detail: str
    fenced: bool = False
    other_lifetime: bool = False
