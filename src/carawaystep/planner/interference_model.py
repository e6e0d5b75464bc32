"""Learned interference of best-effort tasks with serving tasks.

A best-effort task has a step with ``fills`` set: it uses CPU that other
tasks leave idle and reserves none. A serving task has a target for its tail
latency.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import prod
from typing import TYPE_CHECKING

from carawaystep.planner.harm_statistics import HarmCause

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.fleet.tracked_run import TrackedRun
    from carawaystep.fleet.tracked_worker import TrackedWorker
    from carawaystep.fleet.worker_key import WorkerKey

# Ratios of a tail latency to the highest one without harm. A task is harmed
# above the first; its tail is evidence of no harm below the second.
_HARMED_RATIO = 1.0
_UNHARMED_RATIO = 0.9
# A harmful image raises tails to a multiple of the target. Smaller excesses
# come from the load of the serving task itself and are no evidence.
_EVIDENT_HARM_RATIO = 2.5
# The own load of a serving task changes: a tail up to this multiple of the one
# without best-effort tasks is no harm.
_OWN_LOAD_MARGIN = 1.25

# Probability that a pair is harmful before the first evidence.
_PRIOR_PROBABILITY = 0.2
# Probabilities of an unharmed tail beside a harmful image. With a ratio below
# _LOW_LOAD_RATIO the serving task has little load, so that its tail is weak
# evidence.
_LOW_LOAD_RATIO = 0.4
_LOW_LOAD_UNHARMED_TAIL_PROBABILITY = 0.95
_UNHARMED_TAIL_PROBABILITY = 0.4
# Pairs count as harmful from the first value up, and as harmless from the
# second value down.
_HARMFUL_PROBABILITY = 0.6
_HARMLESS_PROBABILITY = 0.1
_FULL_PACE_PERCENT = 100
# Probabilities of 0 or 1 could never change again, and a set of images that
# all have 0 would divide by zero.
_MIN_PROBABILITY = 0.01
_MAX_PROBABILITY = 0.99

# A reported tail covers 0.5 s and arrives late: the effect of an image is
# visible at the latest _HARM_ONSET_S after the image starts, and until
# _TAIL_REPORT_LAG_S after it ends.
_HARM_ONSET_S = 1.6
_TAIL_REPORT_LAG_S = 1.3
# An unharmed tail is evidence only about images that have run at full pace for
# this time. It is also the pause between two actions on antagonists.
_TAIL_WINDOW_S = 0.8
# Tails reported within this time are not independent evidence.
_UNHARMED_EVIDENCE_INTERVAL_S = 1.5


@dataclass(slots=True)
class _WorkerObservations:
    """Observations on one worker; times are monotonic seconds.

    :param present_since: time since which an image has been present, by
        best-effort image; kept until ``_TAIL_REPORT_LAG_S`` after its last
        report, because tails still show its effect
    :param last_present_at: last report with an image, by best-effort image
    :param full_pace_since: start of uninterrupted full pace, by best-effort
        image
    :param harm_learned: serving images whose current harm has been learned
        from
    :param unharmed_learned_at: last unharmed report that was learned from,
        by serving image
    :param last_antagonist_at: last time that an antagonist was picked
    """

    present_since: dict[str, float] = field(default_factory=dict)
    last_present_at: dict[str, float] = field(default_factory=dict)
    full_pace_since: dict[str, float] = field(default_factory=dict)
    harm_learned: set[str] = field(default_factory=set)
    unharmed_learned_at: dict[str, float] = field(default_factory=dict)
    last_antagonist_at: float = 0.0


class InterferenceModel:
    """Learns which best-effort images harm which serving images.

    Each pair has a probability of being harmful. A tail above
    ``_EVIDENT_HARM_RATIO`` times its target shows that at least one
    best-effort image on the worker is harmful, so that their probabilities
    rise by Bayes' rule; an unharmed tail lowers those of the images that have
    run there at full pace.
    """

    def __init__(self) -> None:
        """Create a model without evidence."""
        self._probabilities: dict[tuple[str, str], float] = {}
        self._observations: dict[WorkerKey, _WorkerObservations] = {}

    def probabilities(self) -> list[tuple[str, str, float]]:
        """Return best-effort image, serving image and probability per pair."""
        return [
            (*pair, probability)
            for pair, probability in sorted(self._probabilities.items())
        ]

    def restore(self, pairs: Iterable[tuple[str, str, float]]) -> None:
        """Load the probabilities that an earlier leader stored.

        :param pairs: best-effort image, serving image and probability
        """
        for best_effort, serving, probability in pairs:
            self._probabilities[best_effort, serving] = min(
                _MAX_PROBABILITY, max(_MIN_PROBABILITY, probability)
            )

    def probability(self, best_effort: str, serving: str) -> float:
        """Return the probability that one image harms another."""
        return self._probabilities.get(
            (best_effort, serving), _PRIOR_PROBABILITY
        )

    def likely_harms(self, best_effort: str, worker: TrackedWorker) -> bool:
        """Tell whether an image likely harms a serving task on a worker."""
        return any(
            self.probability(best_effort, serving) >= _HARMFUL_PROBABILITY
            for serving in worker.serving_images
        )

    def expected_harm(self, best_effort: str, worker: TrackedWorker) -> float:
        """Return the expected number of tasks that an image newly harms.

        Tasks that the best-effort images present already harm do not count.
        """
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
        """Tell whether harm after a placement could have another cause.

        That is the case if another uncertain image was placed on the worker
        recently. Images whose harmfulness is uncertain are placed one at a
        time, so that harm can be attributed to one of them.

        :param now: current time, seconds of a monotonic clock
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
        """Learn from the tail latencies in a worker's report.

        :param worker: worker whose runs hold the values last reported
        :param now: current time, seconds of a monotonic clock
        """
        observations = self._observations.setdefault(
            worker.key, _WorkerObservations()
        )
        self._update_presence(observations, worker, now)
        long_at_full_pace = {
            image
            for image, since in observations.full_pace_since.items()
            if now - since > _TAIL_WINDOW_S
        }
        self._update_own_tails(observations, worker)
        for serving, ratio in self._worst_ratios(worker).items():
            if ratio > _EVIDENT_HARM_RATIO:
                # Later reports of the same harm are no new evidence.
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
                    unharmed_probability = (
                        _LOW_LOAD_UNHARMED_TAIL_PROBABILITY
                        if ratio < _LOW_LOAD_RATIO
                        else _UNHARMED_TAIL_PROBABILITY
                    )
                    self._lower_probabilities(
                        long_at_full_pace, serving, unharmed_probability
                    )

    def pick_antagonist(self, worker: TrackedWorker, now: float) -> str | None:
        """Pick the best-effort image to act on next.

        It is the image with the highest probability of harming a task that
        is harmed now, however low that is. The pick is recorded: for
        ``_TAIL_WINDOW_S`` after it no other is made, because reported tails
        lag behind the action on the image.

        :param now: current time, seconds of a monotonic clock
        :returns: the image; None without a harmed task or an active
            best-effort image, and shortly after the last pick
        """
        observations = self._observations.get(worker.key)
        if (
            observations is None
            or now - observations.last_antagonist_at < _TAIL_WINDOW_S
        ):
            return None
        harmed = {
            tracked.step.image
            for tracked in worker.runs.values()
            if self.is_harmed(worker, tracked)
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
        observations.last_antagonist_at = now
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
        """Return the best-effort images that may cause lasting harm.

        :param now: current time, seconds of a monotonic clock
        :param harmed_for_s: minimum time for which a task has been harmed
        :param min_probability: minimum probability that the image harms it
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
        """Drop the observations on a removed worker."""
        self._observations.pop(worker, None)

    def is_harmed(self, worker: TrackedWorker, tracked: TrackedRun) -> bool:
        """Tell whether other tasks may raise a tail above its target.

        A serving task that is over its target by its own load is harmed only
        if its tail rises further.

        :param worker: worker of the run
        """
        return (
            self.reports_tail(tracked)
            and self._ratio(worker, tracked) > _HARMED_RATIO
        )

    def cause_beside(
        self, worker: TrackedWorker, tracked: TrackedRun
    ) -> HarmCause:
        """Return what may have taken a serving task over its target."""
        observations = self._observations.get(worker.key)
        probability = max(
            (
                self.probability(image, tracked.step.image)
                for image in (
                    observations.present_since if observations else ()
                )
            ),
            default=None,
        )
        if probability is None:
            return HarmCause.NONE
        if probability >= _HARMFUL_PROBABILITY:
            return HarmCause.KNOWN
        if probability > _HARMLESS_PROBABILITY:
            return HarmCause.UNCERTAIN
        return HarmCause.HARMLESS

    @staticmethod
    def reports_tail(tracked: TrackedRun) -> bool:
        """Tell whether a run is a started serving task with a known tail."""
        return (
            tracked.step.tail_target_ms > 0
            and tracked.tail_ms_or_cpu_millis > 0
            and tracked.progress_percent >= 100
        )

    @staticmethod
    def _update_presence(
        observations: _WorkerObservations, worker: TrackedWorker, now: float
    ) -> None:
        """Record which images run there, and which of them at full pace."""
        present: set[str] = set()
        at_full_pace: set[str] = set()
        for tracked in worker.runs.values():
            if (
                not tracked.step.fills
                or not tracked.pace_percent
                or not tracked.progress_percent
            ):
                # A run without progress has not started yet: it does no harm.
                continue
            present.add(tracked.step.image)
            if tracked.pace_percent == _FULL_PACE_PERCENT:
                at_full_pace.add(tracked.step.image)
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
        for image in at_full_pace:
            observations.full_pace_since.setdefault(image, now)
        for image in list(observations.full_pace_since):
            if image not in at_full_pace:
                del observations.full_pace_since[image]

    @staticmethod
    def _possible_causes(
        observations: _WorkerObservations, now: float
    ) -> set[str]:
        """Return the images that can cause harm that begins now.

        Harm begins soon after an image starts on the worker. Images that
        were present before without harm are causes only when none has
        started recently.
        """
        started_recently = {
            image
            for image, since in observations.present_since.items()
            if now - since < _HARM_ONSET_S
        }
        return started_recently or set(observations.present_since)

    def _update_own_tails(
        self, observations: _WorkerObservations, worker: TrackedWorker
    ) -> None:
        """Record which serving tasks are over their target by their own load.

        Only a tail that no best-effort task can have raised shows it.
        """
        disturbed = bool(observations.present_since) or any(
            tracked.step.fills and tracked.pace_percent
            for tracked in worker.runs.values()
        )
        for tracked in worker.runs.values():
            tail_ms = tracked.tail_ms_or_cpu_millis
            if not self.reports_tail(tracked):
                continue
            if tail_ms <= tracked.step.tail_target_ms:
                tracked.own_tail_ms = 0.0
            elif not disturbed:
                tracked.own_tail_ms = tail_ms
        worker.strained_task_count = sum(
            1 for tracked in worker.runs.values() if tracked.own_tail_ms
        )

    def _ratio(self, worker: TrackedWorker, tracked: TrackedRun) -> float:
        """Return the ratio of a tail to the highest one without harm.

        That is the target, or more if the task is over it by its own load.
        Beside an image that likely harms the task it is the target: its own
        load may have fallen meanwhile.
        """
        unharmed_ms = tracked.step.tail_target_ms
        if tracked.own_tail_ms and not any(
            other.step.fills
            and other.pace_percent
            and self.probability(other.step.image, tracked.step.image)
            >= _HARMFUL_PROBABILITY
            for other in worker.runs.values()
        ):
            unharmed_ms = max(
                unharmed_ms, _OWN_LOAD_MARGIN * tracked.own_tail_ms
            )
        return tracked.tail_ms_or_cpu_millis / unharmed_ms

    def _worst_ratios(self, worker: TrackedWorker) -> dict[str, float]:
        """Return the highest ratio by serving image, see :meth:`_ratio`."""
        worst: dict[str, float] = {}
        for tracked in worker.runs.values():
            if self.reports_tail(tracked):
                ratio = self._ratio(worker, tracked)
                image = tracked.step.image
                worst[image] = max(ratio, worst.get(image, 0.0))
        return worst

    def _raise_probabilities(self, images: set[str], serving: str) -> None:
        if not images:
            return
        none_harmful = prod(1 - self.probability(i, serving) for i in images)
        for image in images:
            posterior = self.probability(image, serving) / (1 - none_harmful)
            self._probabilities[image, serving] = min(
                _MAX_PROBABILITY, posterior
            )

    def _lower_probabilities(
        self, images: set[str], serving: str, unharmed_probability: float
    ) -> None:
        for image in images:
            prior = self.probability(image, serving)
            joint = prior * unharmed_probability
            posterior = joint / (joint + 1 - prior)
            self._probabilities[image, serving] = max(
                _MIN_PROBABILITY, posterior
            )
