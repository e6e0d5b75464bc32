"""HTTP response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; its body has the declared length.

    :param status: HTTP status
    :param headers: headers by lower-case name
    :param body: complete body
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
