"""A complete HTTP response."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any


@dataclass(frozen=True, slots=True)
class TimedResponse:
    """Status, headers and the whole body.

    :param status: HTTP status
    :param headers: headers by lower-case name
    :param body: the whole body
    :param latency_s: time from sending to the last byte
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    latency_s: float

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)
