"""When the tasks of one step were placed, sent, started and done."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StepTimes:
    """Latest times of a step's tasks, monotonic seconds, None before.

    A run that is repeated moves the times, so that they are those of the
    task that is done last.

    :param declared_s: declared run time of a task in seconds
    :param ready_at: when its tasks could start
    :param placed_at: when its last task was placed
    :param sent_at: when its last start was sent, which is after the placement
        was stored
    :param started_at: when its last start was confirmed or first reported
    :param done_at: when its last task was reported as done
    """

    declared_s: float
    ready_at: float
    placed_at: float | None = None
    sent_at: float | None = None
    started_at: float | None = None
    done_at: float | None = None

    def parts(self) -> StepParts:
        """Return how long the step spent in each part."""
        placed_at = self._at_least(self.ready_at, self.placed_at)
        sent_at = self._at_least(placed_at, self.sent_at)
        started_at = self._at_least(sent_at, self.started_at)
        done_at = self._at_least(started_at, self.done_at)
        return StepParts(
            wait_s=placed_at - self.ready_at,
            store_s=sent_at - placed_at,
            start_s=started_at - sent_at,
            run_s=done_at - started_at,
            declared_s=self.declared_s,
        )

    @staticmethod
    def _at_least(earlier: float, at: float | None) -> float:
        """Return a time, not before the one of the part before it.

        The end of a short run may be reported before its start.
        """
        return earlier if at is None else max(earlier, at)


@dataclass(frozen=True, slots=True)
class StepParts:
    """Seconds that a step, or all steps of a workflow, spent in each part.

    :param wait_s: ready until the last task was placed
    :param store_s: placed until the start was stored and sent
    :param start_s: sent until the start was confirmed or reported
    :param run_s: started until the end was reported
    :param declared_s: declared run time
    """

    wait_s: float = 0.0
    store_s: float = 0.0
    start_s: float = 0.0
    run_s: float = 0.0
    declared_s: float = 0.0

    @property
    def total_s(self) -> float:
        """Return the seconds from ready to done."""
        return self.wait_s + self.store_s + self.start_s + self.run_s

    def plus(self, other: StepParts) -> StepParts:
        """Return the sums of the parts of two steps."""
        return StepParts(
            self.wait_s + other.wait_s,
            self.store_s + other.store_s,
            self.start_s + other.start_s,
            self.run_s + other.run_s,
            self.declared_s + other.declared_s,
        )
