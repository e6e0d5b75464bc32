"""Submissions of a node that may be stored without a published state."""

from __future__ import annotations

# Long enough for a write of unknown outcome to be done or given up, and for
# its state to be published.
_OPEN_FOR_S = 10.0
_MAX_IDS = 4096


class OpenSubmissions:
    """Ids that were passed on and have not certainly been refused.

    A further attempt under such an id must not be refused for lack of room,
    because the earlier one may take effect or has done so.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._passed_on_at: dict[str, float] = {}

    def add(self, workflow_id: str, now: float) -> None:
        """Record that a submission is passed on.

        :param now: current time in seconds, monotonic
        """
        self._passed_on_at.pop(workflow_id, None)
        self._passed_on_at[workflow_id] = now
        while len(self._passed_on_at) > _MAX_IDS:
            del self._passed_on_at[next(iter(self._passed_on_at))]

    def close(self, workflow_id: str, passed_on_at: float) -> None:
        """Record that an attempt certainly takes no effect.

        A later attempt that was passed on meanwhile stays open.

        :param passed_on_at: when it was added, seconds, monotonic
        """
        if self._passed_on_at.get(workflow_id) == passed_on_at:
            del self._passed_on_at[workflow_id]

    def may_be_stored(self, workflow_id: str, now: float) -> bool:
        """Tell whether an earlier attempt may take effect.

        :param now: current time in seconds, monotonic
        """
        passed_on_at = self._passed_on_at.get(workflow_id)
        return passed_on_at is not None and now - passed_on_at < _OPEN_FOR_S
