"""HTTP response with its latency."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any


@dataclass(frozen=True, slots=True)
class TimedResponse:
    """A complete HTTP response and how long it took.

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
        """Return the decoded body.

        :raises ValueError: the body is not JSON
        """
        return json.loads(self.body)
