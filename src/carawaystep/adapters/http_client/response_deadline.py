"""Deadline of a call that moves while its response arrives."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.adapters.http_client.body_timeout import BodyTimeout


class ResponseDeadline:
    """Postpones the deadline of a call while parts of its body arrive."""

    def __init__(
        self, deadline_at: float, body_timeout: BodyTimeout | None
    ) -> None:
        """Create the deadline of a call without a response.

        :param deadline_at: when the call ends if no response has begun
        :param body_timeout: limits of a response that has begun, None if the
            deadline stays as it is
        """
        self._at = deadline_at
        self._body_timeout = body_timeout
        self._latest_at: float | None = None

    @property
    def at(self) -> float:
        """Return when the call ends."""
        return self._at

    def record_progress(self, now: float) -> None:
        """Record that the headers or a part of the body have arrived."""
        if self._body_timeout is None:
            return
        if self._latest_at is None:
            self._latest_at = now + self._body_timeout.total_s
        postponed_at = min(now + self._body_timeout.pause_s, self._latest_at)
        self._at = max(self._at, postponed_at)
