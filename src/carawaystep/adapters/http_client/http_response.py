"""A whole HTTP answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An answer whose body is as long as the server declared.

    :param status: HTTP status
    :param headers: headers by lower-case name
    :param body: whole body
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
