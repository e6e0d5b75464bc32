"""Cache of the workflow states and queue counts that the leader published."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from carawaystep.workflow.workflow_state import WorkflowState

# When more workflows are cached, the entries updated least recently are
# evicted; the leader or the store is then asked for their states.
_MAX_WORKFLOWS = 20_000

# Older counts are not reported to callers.
_MAX_COUNT_AGE_S = 4.0


class PublishedStateCache:
    """Published states by workflow and counts of queued workflows by queue.

    A final state is never overwritten, so messages that arrive out of order
    do no harm. Other states are dropped when an update of them may have been
    missed, because the leader does not publish it again.
    """

    def __init__(self) -> None:
        """Create an empty cache."""
        self._states: dict[str, WorkflowState] = {}
        self._message_number = 0
        self._complete_since: float | None = None
        self._queue_counts: Mapping[str, int] | None = None
        self._queue_counts_at = 0.0

    def start_term(self) -> None:
        """Prepare for the messages of another leader.

        The earlier one may have stored states that it did not publish.
        """
        self._message_number = 0
        self._drop_unfinished()

    @property
    def complete_since(self) -> float | None:
        """Return since when all stored states are known, None if unknown.

        :returns: monotonic seconds; states that were stored earlier may be
            missing
        """
        return self._complete_since

    def update_states(
        self, states: Mapping[str, WorkflowState], message_number: int
    ) -> None:
        """Merge published states by workflow id into the cache.

        :param message_number: number of messages with states that the leader
            has published in its term, including this one
        """
        expected = self._message_number + (1 if states else 0)
        if message_number > expected:
            self._drop_unfinished()
        self._message_number = max(self._message_number, message_number)
        for workflow_id, state in states.items():
            cached = self._states.pop(workflow_id, None)
            if cached is not None and cached.final:
                state = cached
            self._states[workflow_id] = state
        while len(self._states) > _MAX_WORKFLOWS:
            del self._states[next(iter(self._states))]

    def add_missing(self, workflow_id: str, state: WorkflowState) -> None:
        """Cache a state that the leader was asked for.

        A state that was published meanwhile is newer and stays.
        """
        self._states.setdefault(workflow_id, state)

    def replace_queue_counts(
        self, counts: Mapping[str, int], now: float
    ) -> None:
        """Replace the counts of all queues.

        :param counts: number of workflows that have not started, by queue
        :param now: current time in seconds, monotonic
        """
        self._queue_counts = counts
        self._queue_counts_at = now
        if self._complete_since is None:
            self._complete_since = now

    def get(self, workflow_id: str) -> WorkflowState | None:
        """Return the cached state of a workflow, None if there is none."""
        return self._states.get(workflow_id)

    def count_queued(self, queue: str, now: float) -> int | None:
        """Return the number of workflows of a queue that have not started.

        :returns: the count, None if the counts are missing or old
        """
        if (
            self._queue_counts is None
            or now - self._queue_counts_at > _MAX_COUNT_AGE_S
        ):
            return None
        return self._queue_counts.get(queue, 0)

    def _drop_unfinished(self) -> None:
        self._complete_since = None
        self._states = {
            workflow_id: state
            for workflow_id, state in self._states.items()
            if state.final
        }
