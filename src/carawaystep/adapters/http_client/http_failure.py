"""Failures of HTTP calls, returned as values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """Base class: a call that returned no complete response.

    :param detail: description for logs and error bodies
    """

    detail: str


@dataclass(frozen=True, slots=True)
class HttpNotSent(HttpFailure):
    """No byte of the request was written to a connection."""


@dataclass(frozen=True, slots=True)
class HttpOutcomeUnknown(HttpFailure):
    """The server may have received and executed the request."""
