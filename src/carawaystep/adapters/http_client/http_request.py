"""An HTTP request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request that is sent at most once.

    :param method: HTTP method
    :param url: absolute URL, already quoted
    :param headers: headers beside those of the client
    :param body: body, or None
    """

    method: str
    url: str
    headers: Mapping[str, str]
    body: bytes | None

    def __str__(self) -> str:
        """Return method and URL for error messages."""
        return f"{self.method} {self.url}"
