"""What filling tasks do to serving tasks beside them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.held_run import HeldRun
    from carawaystep.fleet.held_worker import HeldWorker

# Share of its target from which a tail counts as harmed, and below which
# everything beside it counts as harmless.
_HARMED = 0.9
_HARMLESS = 0.65

_UNKNOWN = 0.25
_HARMFUL = 0.5
_BLAME = 0.6
_RELIEF = 0.7

# A reported tail covers the last half second and is late by the wait of a
# report; younger runs have not shown in it.
_SETTLED_S = 0.7


class Interference:
    """Learns per pair of images whether one harms the other.

    A score from 0 to 1 for each pair rises when the serving task is over
    its target beside the filling one, shared among all that are there, and
    falls when it is well below.
    """

    def __init__(self) -> None:
        """Create a record that knows no pair."""
        self._scores: dict[tuple[str, str], float] = {}

    def score(self, filling: str, serving: str) -> float:
        """Return how surely one image harms another, 0 to 1."""
        return self._scores.get((filling, serving), _UNKNOWN)

    def harms(self, filling: str, worker: HeldWorker) -> bool:
        """Tell whether an image is known to harm a task on a worker."""
        return any(
            self.score(filling, serving) >= _HARMFUL
            for serving in worker.serving_images
        )

    def risk(self, filling: str, worker: HeldWorker) -> float:
        """Return the sum of the scores over the tasks that serve there."""
        return sum(
            count * self.score(filling, serving)
            for serving, count in worker.serving_images.items()
        )

    def observe(self, worker: HeldWorker, now: float) -> None:
        """Learn from the tails in a worker's report."""
        filling = {
            held.step.image
            for held in worker.runs.values()
            if self._presses(held, now)
        }
        if not filling:
            return
        for held in worker.runs.values():
            if not self.at_work(held):
                continue
            ratio = held.figure / held.step.tail_target_ms
            if ratio > _HARMED:
                self._blame(filling, held.step.image)
            elif ratio < _HARMLESS:
                self._relieve(filling, held.step.image)

    def culprits(self, worker: HeldWorker) -> set[str]:
        """Return the filling images that harm a task on a worker now."""
        filling = {
            held.step.image
            for held in worker.runs.values()
            if held.step.fills and held.pace > 0
        }
        found: set[str] = set()
        for held in worker.runs.values():
            if not self.at_work(held) or not filling:
                continue
            if held.figure > _HARMED * held.step.tail_target_ms:
                serving = held.step.image
                worst = max(self.score(f, serving) for f in filling)
                found.update(
                    f for f in filling if self.score(f, serving) >= worst
                )
        return found

    @staticmethod
    def at_work(held: HeldRun) -> bool:
        """Tell whether a run serves users and reports a tail."""
        return (
            held.step.tail_target_ms > 0
            and held.figure > 0
            and held.percent >= 100
        )

    def _blame(self, filling: set[str], serving: str) -> None:
        total = sum(self.score(image, serving) for image in filling)
        for image in filling:
            score = self.score(image, serving)
            share = score / total if total else 1.0
            self._scores[image, serving] = score + _BLAME * share * (1 - score)

    def _relieve(self, filling: set[str], serving: str) -> None:
        for image in filling:
            score = self.score(image, serving)
            self._scores[image, serving] = score * _RELIEF

    @staticmethod
    def _presses(held: HeldRun, now: float) -> bool:
        return (
            held.step.fills
            and held.percent > 0
            and held.pace == 100
            and now - held.placed_at > _SETTLED_S
        )
