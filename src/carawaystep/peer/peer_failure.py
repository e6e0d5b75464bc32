"""Failures of calls to another entry, as values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """No reply came.

    :param detail: sentence for logs and error bodies
    :param sent: False only when the message certainly never left
    """

    detail: str
    sent: bool
