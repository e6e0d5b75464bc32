"""Figures of the deployments that the report compares."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.capacity.cost_model import CostModel
from tools.capacity.linear_fit import LinearFit
from tools.capacity.plan import deployments
from tools.capacity.sample import Sample

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from typing import Any

    from tools.capacity.plan import DeploymentSizes


class CapacityFigures:
    """Figures of three deployments, derived from the measurements.

    They are the small deployment of today, the target size, and the target
    size with 70 workers for each entry.
    """

    def __init__(self, measurements: Mapping[str, Any]) -> None:
        """Read the measurements.

        :param measurements: JSON value that ``MeasurementRun`` writes
        """
        self._model = CostModel(measurements["slopes"])
        self._combined = {
            name: Sample.from_json(value)
            for name, value in measurements["combined"].items()
        }
        self._today, self._target, self._target_70 = deployments()

    @property
    def model(self) -> CostModel:
        """Return the estimate of the costs at any size."""
        return self._model

    @property
    def combined(self) -> Mapping[str, Sample]:
        """Return the samples of whole deployments of target size."""
        return self._combined

    @property
    def today(self) -> DeploymentSizes:
        """Return the sizes of the small deployment of today."""
        return self._today

    @property
    def target(self) -> DeploymentSizes:
        """Return the sizes of the target."""
        return self._target

    @property
    def target_70(self) -> DeploymentSizes:
        """Return the sizes of the target with 70 workers for each entry."""
        return self._target_70

    @property
    def samples(self) -> list[Sample]:
        """Return a sample of each of the three deployments."""
        return [
            self._model.small,
            self._combined["target"],
            self._combined["target_70"],
        ]

    @property
    def writes_per_start(self) -> float:
        """Return the number of transactions that one start of a task adds.

        The slope of the fitted line leaves out heartbeats, which are written
        without any start, too.
        """
        samples = self._model.samples("starts_per_s")
        return LinearFit.fit(
            [sample.calls_per_s("workers/tasks") for sample in samples],
            [
                sample.calls_per_s("platform/transactions")
                for sample in samples
            ],
        ).per_unit

    def rates_of_all_entries(
        self, rate: Callable[[Sample], float]
    ) -> list[float]:
        """Return the rate of an entry times the number of entries.

        :param rate: reads the rate of one entry from a sample
        :returns: a figure for each of the three deployments
        """
        sizes = (self._today, self._target, self._target_70)
        return [
            rate(sample) * deployment.entries
            for sample, deployment in zip(self.samples, sizes, strict=True)
        ]
