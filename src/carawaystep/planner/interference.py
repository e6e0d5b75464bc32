"""What filling tasks do to serving tasks beside them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import prod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.fleet.held_run import HeldRun
    from carawaystep.fleet.held_worker import HeldWorker
    from carawaystep.fleet.worker_key import WorkerKey

# Share of its target from which a tail counts as harmed, and below which it
# counts as unharmed.
_HARMED = 1.0
_UNHARMED = 0.9

# Probability that a pair is harmful before anything was seen.
_PRIOR = 0.2
# Chance of an unharmed tail beside a harmful image: the serving task has
# little load at the time.
_QUIET_CHANCE = 0.6
_HARMFUL = 0.5
_LEAST = 0.01
_MOST = 0.99

# A reported tail covers the last half second, and reports are late.
_WINDOW_S = 0.8


@dataclass(slots=True)
class _Sightings:
    """What was seen on one worker.

    :param since: start of the present stay, by filling image
    :param last: last time that a filling image was there
    :param learned_at: last report that was learned from
    :param acted_at: last time that a culprit was named
    """

    since: dict[str, float] = field(default_factory=dict)
    last: dict[str, float] = field(default_factory=dict)
    learned_at: float = 0.0
    acted_at: float = 0.0


class Interference:
    """Learns per pair of images whether one harms the other.

    Each pair has a probability. A harmed tail shows that at least one of the
    images beside it is harmful, so the probabilities rise by Bayes' rule; an
    unharmed one lowers those of all images that were there.
    """

    def __init__(self) -> None:
        """Create a record that knows no pair."""
        self._odds: dict[tuple[str, str], float] = {}
        self._sightings: dict[WorkerKey, _Sightings] = {}

    def probability(self, filling: str, serving: str) -> float:
        """Return how likely one image harms another."""
        return self._odds.get((filling, serving), _PRIOR)

    def harms(self, filling: str, worker: HeldWorker) -> bool:
        """Tell whether an image likely harms a task on a worker."""
        return any(
            self.probability(filling, serving) >= _HARMFUL
            for serving in worker.serving_images
        )

    def risk(self, filling: str, worker: HeldWorker) -> float:
        """Return the expected number of harmed tasks on a worker."""
        return sum(
            count * self.probability(filling, serving)
            for serving, count in worker.serving_images.items()
        )

    def observe(self, worker: HeldWorker, now: float) -> None:
        """Learn from the tails in a worker's report."""
        seen = self._sightings.setdefault(worker.key, _Sightings())
        self._note_presence(seen, worker, now)
        if now - seen.learned_at < _WINDOW_S:
            return
        seen.learned_at = now
        recent = {
            image for image, at in seen.last.items() if now - at < _WINDOW_S
        }
        steady = {
            image for image, at in seen.since.items() if now - at > _WINDOW_S
        }
        for held in worker.runs.values():
            if not self.at_work(held):
                continue
            ratio = held.figure / held.step.tail_target_ms
            if ratio > _HARMED:
                self._blame(recent, held.step.image)
            elif ratio < _UNHARMED:
                self._relieve(steady, held.step.image)

    def culprit(self, worker: HeldWorker, now: float) -> str | None:
        """Return the filling image that most likely harms a task now."""
        seen = self._sightings.get(worker.key)
        if seen is None or now - seen.acted_at < _WINDOW_S:
            return None
        harmed = {
            held.step.image
            for held in worker.runs.values()
            if self.is_harmed(held)
        }
        if not harmed or not seen.since:
            return None
        seen.acted_at = now
        return max(
            seen.since,
            key=lambda image: max(
                self.probability(image, serving) for serving in harmed
            ),
        )

    def harmed(self, worker: HeldWorker) -> bool:
        """Tell whether a serving task is close to its target or over it."""
        return any(
            held.figure > _UNHARMED * held.step.tail_target_ms
            for held in worker.runs.values()
            if self.at_work(held)
        )

    def forget(self, worker: WorkerKey) -> None:
        """Drop what was seen on a worker that is gone."""
        self._sightings.pop(worker, None)

    def is_harmed(self, held: HeldRun) -> bool:
        """Tell whether a serving task is over its target."""
        return (
            self.at_work(held)
            and held.figure > _HARMED * held.step.tail_target_ms
        )

    @staticmethod
    def at_work(held: HeldRun) -> bool:
        """Tell whether a run serves users and reports a tail."""
        return (
            held.step.tail_target_ms > 0
            and held.figure > 0
            and held.percent >= 100
        )

    @staticmethod
    def _note_presence(
        seen: _Sightings, worker: HeldWorker, now: float
    ) -> None:
        present = {
            held.step.image
            for held in worker.runs.values()
            if held.step.fills and held.pace > 0 and held.percent > 0
        }
        for image in present:
            seen.since.setdefault(image, now)
            seen.last[image] = now
        for image in list(seen.since):
            if image not in present:
                del seen.since[image]
        for image, at in list(seen.last.items()):
            if now - at > _WINDOW_S:
                del seen.last[image]

    def _blame(self, images: set[str], serving: str) -> None:
        if not images:
            return
        none = prod(1 - self.probability(i, serving) for i in images)
        for image in images:
            raised = self.probability(image, serving) / (1 - none)
            self._odds[image, serving] = min(_MOST, raised)

    def _relieve(self, images: set[str], serving: str) -> None:
        for image in images:
            known = self.probability(image, serving)
            quiet = known * _QUIET_CHANCE
            lowered = quiet / (quiet + 1 - known)
            self._odds[image, serving] = max(_LEAST, lowered)
