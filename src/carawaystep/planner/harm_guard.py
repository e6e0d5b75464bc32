"""What is done about filling tasks that harm serving ones."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.held_run import HeldRun
    from carawaystep.fleet.held_worker import HeldWorker
    from carawaystep.planner.interference import Interference
    from carawaystep.workflow.task_ref import TaskRef

# A filling task without checkpoints that has got further is slowed down
# rather than started again elsewhere.
_RESTART_PERCENT = 40.0

# Filling tasks beside one that has been harmed for so long are halted.
# Reports and orders take about a second more of the 4 s that are allowed.
_SUSPECT_S = 1.6
_SUSPECT_ODDS = 0.15
_HALT_S = 2.4
# A worker with a harmed task takes no filling tasks for so long.
_RECOVERY_S = 1.5
_PACE_INTERVAL_S = 1.0
_FULL_PACE = 100
# Speed of a task that has to run where it likely harms.
PRESSED_PACE = 10


@dataclass(frozen=True, slots=True)
class Relief:
    """An order to one filling task.

    :param ref: the task
    :param pace: new share of full speed in percent, None to stop the run
    """

    ref: TaskRef
    pace: int | None


class HarmGuard:
    """Moves, slows or halts filling tasks by what reports show."""

    def __init__(self, interference: Interference) -> None:
        """Create a guard.

        :param interference: what is known of pairs of images
        """
        self._interference = interference

    def watch(self, worker: HeldWorker, now: float) -> list[Relief]:
        """Learn from a worker's report and return what to order."""
        for held in worker.runs.values():
            self._note_tail(worker, held, now)
        self._interference.observe(worker, now)
        return [*self._protect(worker, now), *self._resume(worker, now)]

    def _note_tail(
        self, worker: HeldWorker, held: HeldRun, now: float
    ) -> None:
        if not self._interference.is_harmed(held):
            held.over_since = None
            return
        worker.close_to_filling(now + _RECOVERY_S)
        if held.over_since is None:
            held.over_since = now

    def _protect(self, worker: HeldWorker, now: float) -> list[Relief]:
        """Move a filling image away from serving tasks that it harms.

        Where that has not helped soon, filling tasks are halted: first the
        likely ones, then all.
        """
        suspects = self._interference.suspects(
            worker, now, _SUSPECT_S, _SUSPECT_ODDS
        ) | self._interference.suspects(worker, now, _HALT_S, 0.0)
        if suspects:
            return [
                Relief(ref, 0)
                for ref, held in worker.runs.items()
                if self._works(held, suspects)
            ]
        culprit = self._interference.culprit(worker, now)
        if culprit is None:
            return []
        return [
            Relief(ref, None if self._movable(held) else held.pace // 10)
            for ref, held in worker.runs.items()
            if self._works(held, {culprit})
        ]

    def _resume(self, worker: HeldWorker, now: float) -> list[Relief]:
        """Let paced tasks work faster while nobody beside them is harmed."""
        if not worker.takes_filling(now):
            return []
        reliefs = []
        for ref, held in worker.runs.items():
            if held.pace == _FULL_PACE or held.stopping:
                continue
            if now - held.paced_at < _PACE_INTERVAL_S:
                continue
            if not self._interference.harms(held.step.image, worker):
                held.pressed = False
                reliefs.append(Relief(ref, _FULL_PACE))
            elif not held.pace:
                reliefs.append(Relief(ref, PRESSED_PACE))
        return reliefs

    @staticmethod
    def _works(held: HeldRun, images: set[str]) -> bool:
        return (
            held.step.fills
            and held.step.image in images
            and held.pace > 0
            and not held.stopping
        )

    @staticmethod
    def _movable(held: HeldRun) -> bool:
        if held.pressed:
            return False
        return held.step.checkpointing or held.percent < _RESTART_PERCENT
