"""Estimates the costs of an entry at any size from fitted lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.capacity.linear_fit import LinearFit
from tools.capacity.sample import Sample
from tools.capacity.scenario import Scenario

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

_SMALL = Scenario()


class CostModel:
    """Adds up the growth of each size, assuming that sizes are independent.

    Samples of combined scenarios show how far the assumption holds.
    """

    def __init__(self, slopes: Mapping[str, list[dict[str, Any]]]) -> None:
        """Read the measured points.

        :param slopes: size and sample of each point by name of the size
        """
        self._points = {
            name: [
                (float(point["size"]), Sample.from_json(point["sample"]))
                for point in points
            ]
            for name, points in slopes.items()
        }
        self._small = next(
            sample
            for points in self._points.values()
            for _, sample in points
            if sample.scenario == _SMALL
        )

    @property
    def small(self) -> Sample:
        """Return the sample of the small deployment, the base of all sums."""
        return self._small

    def samples(self, name: str) -> list[Sample]:
        """Return the samples of the points of a size, in their order."""
        return [sample for _, sample in self._points[name]]

    def fit(self, name: str, cost: str) -> LinearFit:
        """Fit a line to one cost as a function of one size.

        :param name: name of the size
        :param cost: name of the cost, as ``Sample.cost`` takes it
        """
        sizes, samples = zip(*self._points[name], strict=True)
        return LinearFit.fit(sizes, [sample.cost(cost) for sample in samples])

    def growth(self, name: str, cost: str, size: float) -> float:
        """Return the cost that a size adds to that of the small deployment.

        :param name: name of the size
        :param cost: name of the cost
        :param size: value of the size
        """
        base_size = float(getattr(_SMALL, name))
        return self.fit(name, cost).per_unit * (size - base_size)

    def total(self, cost: str, sizes: Mapping[str, float]) -> float:
        """Return the cost at the sizes of a deployment.

        :param cost: name of the cost
        :param sizes: value of each size by its name
        """
        return self._small.cost(cost) + sum(
            self.growth(name, cost, size) for name, size in sizes.items()
        )
