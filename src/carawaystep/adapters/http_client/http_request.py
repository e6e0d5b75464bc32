"""HTTP request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request that is sent at most once.

    :param method: HTTP method
    :param url: absolute URL, already percent-encoded
    :param headers: headers in addition to those of the client
    :param body: body, None for a request without one
    """

    method: str
    url: str
    headers: Mapping[str, str]
    body: bytes | None

    def __str__(self) -> str:
        """Return method and URL, for error messages."""
        return f"{self.method} {self.url}"
