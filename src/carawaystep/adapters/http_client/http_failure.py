"""Failures of HTTP calls, returned as values."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.adapters.http_client.http_response import HttpResponse


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
class HttpConnectionRejected(HttpNotSent):
    """The check of a new connection failed, so that the request was not sent.

    :param response: response to the check
    """

    response: HttpResponse


@dataclass(frozen=True, slots=True)
class HttpOutcomeUnknown(HttpFailure):
    """The server may have received and executed the request."""
