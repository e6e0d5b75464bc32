"""Severities of findings."""

from __future__ import annotations

from enum import StrEnum


class Severity(StrEnum):
    """What a finding means for the use of the configuration.

    With an ``ERROR`` the system does not use the configuration, or uses it
    otherwise than written. With a ``WARNING`` a part of it has no effect, or
    a change harms work and cannot be undone. A ``NOTICE`` names a change.
    """

    ERROR = "error"
    WARNING = "warning"
    NOTICE = "notice"
