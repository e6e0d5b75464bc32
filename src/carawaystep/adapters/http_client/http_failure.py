"""Failures of HTTP calls, as values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """A call that gave no whole answer.

    :param detail: sentence for logs and error bodies
    """

    detail: str


@dataclass(frozen=True, slots=True)
class HttpNotSent(HttpFailure):
    """No byte of the request was written to a connection."""


@dataclass(frozen=True, slots=True)
class HttpOutcomeUnknown(HttpFailure):
    """The server may have received the request."""
