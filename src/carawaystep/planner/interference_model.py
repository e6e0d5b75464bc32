"""What filling tasks do to serving tasks beside them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import prod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.fleet.tracked_run import TrackedRun
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_key import WorkerKey

# Share of its target from which a tail counts as harmed, and below which it
# counts as unharmed.
_HARMED_RATIO = 1.0
_UNHARMED_RATIO = 0.9
# A harmful image raises tails to a multiple of the target. Smaller excesses
# come from the serving task's own load and tell nothing of images.
_EVIDENT_HARM_RATIO = 2.5

# Probability that a pair is harmful before anything was seen.
_PRIOR_PROBABILITY = 0.2
# Chance of an unharmed tail beside a harmful image. Below _LOW_LOAD_RATIO the serving
# task has little load at the time, and its tail says little.
_LOW_LOAD_RATIO = 0.4
_LOW_LOAD_UNHARMED_PROBABILITY = 0.95
_UNHARMED_PROBABILITY = 0.4
_HARMFUL_PROBABILITY = 0.6
# From here down a pair counts as harmless.
_HARMLESS_PROBABILITY = 0.1
_FULL_PACE_PERCENT = 100
_MIN_PROBABILITY = 0.01
_MAX_PROBABILITY = 0.99

# A tail covers half a second and is reported late: it shows an image within
# _HARM_ONSET_S after its start, and until _TAIL_REPORT_LAG_S after its end.
_HARM_ONSET_S = 1.6
_TAIL_REPORT_LAG_S = 1.3
_TAIL_WINDOW_S = 0.8
# Tails within this time say the same.
_UNHARMED_EVIDENCE_INTERVAL_S = 1.5


@dataclass(slots=True)
class _WorkerObservations:
    """What was seen on one worker.

    :param since: start of the present or last stay, by filling image
    :param last: last time that a filling image was there
    :param steady: since when an image has worked at full speed
    :param harmed: serving images whose present harm was learned from
    :param unharmed_learned_at: last unharmed report learned from, by serving image
    :param antagonist_named_at: last time that a culprit was named
    """

    present_since: dict[str, float] = field(default_factory=dict)
    last_present_at: dict[str, float] = field(default_factory=dict)
    full_pace_since: dict[str, float] = field(default_factory=dict)
    harm_learned: set[str] = field(default_factory=set)
    unharmed_learned_at: dict[str, float] = field(default_factory=dict)
    antagonist_named_at: float = 0.0


class InterferenceModel:
    """Learns per pair of images whether one harms the other.

    Each pair has a probability. A harmed tail shows that at least one of the
    images beside it is harmful, so the probabilities rise by Bayes' rule; an
    unharmed one lowers those of all images that were there.
    """

    def __init__(self) -> None:
        """Create a record that knows no pair."""
        self._probabilities: dict[tuple[str, str], float] = {}
        self._observations: dict[WorkerKey, _WorkerObservations] = {}

    def probabilities(self) -> list[tuple[str, str, float]]:
        """Return filling image, serving image and probability by pair."""
        return [
            (*pair, probability)
            for pair, probability in sorted(self._probabilities.items())
        ]

    def restore(self, pairs: Iterable[tuple[str, str, float]]) -> None:
        """Take over what an earlier leader has learned."""
        for best_effort, serving, probability in pairs:
            self._probabilities[best_effort, serving] = min(
                _MAX_PROBABILITY, max(_MIN_PROBABILITY, probability)
            )

    def probability(self, best_effort: str, serving: str) -> float:
        """Return how likely one image harms another."""
        return self._probabilities.get(
            (best_effort, serving), _PRIOR_PROBABILITY
        )

    def likely_harms(self, best_effort: str, worker: TrackedWorker) -> bool:
        """Tell whether an image likely harms a task on a worker."""
        return any(
            self.probability(best_effort, serving) >= _HARMFUL_PROBABILITY
            for serving in worker.serving_images
        )

    def expected_harm(self, best_effort: str, worker: TrackedWorker) -> float:
        """Return the expected number of tasks that an image harms anew."""
        present = worker.best_effort_images
        return sum(
            count
            * self.probability(best_effort, serving)
            * prod(1 - self.probability(image, serving) for image in present)
            for serving, count in worker.serving_images.items()
        )

    def confounds(
        self, best_effort: str, worker: TrackedWorker, now: float
    ) -> bool:
        """Tell whether harm after an arrival would have two possible causes.

        An image of which it is open whether it harms a task arrives alone,
        so that what follows tells which image it was.
        """
        return self._is_uncertain(best_effort, worker) and any(
            tracked.step.fills
            and tracked.step.image != best_effort
            and now - tracked.placed_at < _HARM_ONSET_S
            and self._is_uncertain(tracked.step.image, worker)
            for tracked in worker.runs.values()
        )

    def _is_uncertain(self, best_effort: str, worker: TrackedWorker) -> bool:
        return any(
            _HARMLESS_PROBABILITY
            < self.probability(best_effort, serving)
            < _HARMFUL_PROBABILITY
            for serving in worker.serving_images
        )

    def observe(self, worker: TrackedWorker, now: float) -> None:
        """Learn from the tails in a worker's report."""
        observations = self._observations.setdefault(
            worker.key, _WorkerObservations()
        )
        self._update_presence(observations, worker, now)
        steady = {
            image
            for image, at in observations.full_pace_since.items()
            if now - at > _TAIL_WINDOW_S
        }
        for serving, ratio in self._worst_ratios(worker).items():
            if ratio > _EVIDENT_HARM_RATIO:
                # Later reports of the same harm are no further evidence.
                if serving not in observations.harm_learned:
                    observations.harm_learned.add(serving)
                    self._raise_probabilities(
                        self._possible_causes(observations, now), serving
                    )
            elif ratio < _UNHARMED_RATIO:
                observations.harm_learned.discard(serving)
                if (
                    now - observations.unharmed_learned_at.get(serving, 0.0)
                    > _UNHARMED_EVIDENCE_INTERVAL_S
                ):
                    observations.unharmed_learned_at[serving] = now
                    chance = (
                        _LOW_LOAD_UNHARMED_PROBABILITY
                        if ratio < _LOW_LOAD_RATIO
                        else _UNHARMED_PROBABILITY
                    )
                    self._lower_probabilities(steady, serving, chance)

    def likely_antagonist(
        self, worker: TrackedWorker, now: float
    ) -> str | None:
        """Return the filling image that most likely harms a task now."""
        observations = self._observations.get(worker.key)
        if (
            observations is None
            or now - observations.antagonist_named_at < _TAIL_WINDOW_S
        ):
            return None
        harmed = {
            tracked.step.image
            for tracked in worker.runs.values()
            if self.is_harmed(tracked)
        }
        best_effort = {
            tracked.step.image
            for tracked in worker.runs.values()
            if tracked.step.fills
            and tracked.pace_percent
            and not tracked.stopping
        }
        if not harmed or not best_effort:
            return None
        observations.antagonist_named_at = now
        return max(
            sorted(best_effort),
            key=lambda image: (
                max(self.probability(image, serving) for serving in harmed),
                observations.present_since.get(image, now),
            ),
        )

    def possible_antagonists(
        self,
        worker: TrackedWorker,
        now: float,
        harmed_for_s: float,
        min_probability: float,
    ) -> set[str]:
        """Return the images that may harm a task for some time already.

        :param harmed_for_s: for how long the task has been harmed
        :param min_probability: lowest probability that makes an image a suspect
        """
        harmed = {
            tracked.step.image
            for tracked in worker.runs.values()
            if tracked.over_target_since is not None
            and now - tracked.over_target_since > harmed_for_s
        }
        return {
            tracked.step.image
            for tracked in worker.runs.values()
            if tracked.step.fills
            and any(
                self.probability(tracked.step.image, serving)
                >= min_probability
                for serving in harmed
            )
        }

    def forget_worker(self, worker: WorkerKey) -> None:
        """Drop what was seen on a worker that is gone."""
        self._observations.pop(worker, None)

    def is_harmed(self, tracked: TrackedRun) -> bool:
        """Tell whether a serving task is over its target."""
        return (
            self.reports_tail(tracked)
            and tracked.tail_ms_or_cpu_millis
            > _HARMED_RATIO * tracked.step.tail_target_ms
        )

    @staticmethod
    def reports_tail(tracked: TrackedRun) -> bool:
        """Tell whether a run serves users and reports a tail."""
        return (
            tracked.step.tail_target_ms > 0
            and tracked.tail_ms_or_cpu_millis > 0
            and tracked.progress_percent >= 100
        )

    @staticmethod
    def _update_presence(
        observations: _WorkerObservations, worker: TrackedWorker, now: float
    ) -> None:
        """Note which images work there, and which at full speed."""
        present: set[str] = set()
        full: set[str] = set()
        for tracked in worker.runs.values():
            if (
                not tracked.step.fills
                or not tracked.pace_percent
                or not tracked.progress_percent
            ):
                continue
            present.add(tracked.step.image)
            if tracked.pace_percent == _FULL_PACE_PERCENT:
                full.add(tracked.step.image)
        for image in present:
            observations.present_since.setdefault(image, now)
            observations.last_present_at[image] = now
        for image in list(observations.last_present_at):
            if (
                image not in present
                and now - observations.last_present_at[image]
                > _TAIL_REPORT_LAG_S
            ):
                del observations.last_present_at[image]
                del observations.present_since[image]
        for image in full:
            observations.full_pace_since.setdefault(image, now)
        for image in list(observations.full_pace_since):
            if image not in full:
                del observations.full_pace_since[image]

    @staticmethod
    def _possible_causes(
        observations: _WorkerObservations, now: float
    ) -> set[str]:
        """Return the images to which harm that begins now can be due.

        Harm begins soon after an image arrives. Those that were there
        before without harm come into question only when none has arrived.
        """
        arrived = {
            image
            for image, at in observations.present_since.items()
            if now - at < _HARM_ONSET_S
        }
        return arrived or set(observations.present_since)

    def _worst_ratios(self, worker: TrackedWorker) -> dict[str, float]:
        """Return the highest tail against its target by serving image."""
        worst: dict[str, float] = {}
        for tracked in worker.runs.values():
            if self.reports_tail(tracked):
                ratio = (
                    tracked.tail_ms_or_cpu_millis / tracked.step.tail_target_ms
                )
                image = tracked.step.image
                worst[image] = max(ratio, worst.get(image, 0.0))
        return worst

    def _raise_probabilities(self, images: set[str], serving: str) -> None:
        if not images:
            return
        none = prod(1 - self.probability(i, serving) for i in images)
        for image in images:
            raised = self.probability(image, serving) / (1 - none)
            self._probabilities[image, serving] = min(_MAX_PROBABILITY, raised)

    def _lower_probabilities(
        self, images: set[str], serving: str, chance: float
    ) -> None:
        for image in images:
            known = self.probability(image, serving)
            unharmed = known * chance
            lowered = unharmed / (unharmed + 1 - known)
            self._probabilities[image, serving] = max(
                _MIN_PROBABILITY, lowered
            )
