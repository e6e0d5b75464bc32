"""Failures of calls to another entry, returned as values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """A call without a reply.

    :param detail: description for logs and error bodies
    :param sent: False only if the message was certainly never sent
    """

    detail: str
    sent: bool
