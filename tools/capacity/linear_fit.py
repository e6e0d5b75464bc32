"""Linear fit of measured points."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import linear_regression
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Whether a poll falls into the window shifts a point by up to a tenth.
_MIN_GROWTH_PER_RESIDUAL = 3


@dataclass(frozen=True, slots=True)
class LinearFit:
    """Line that gives a cost as a function of one size.

    :param per_unit: cost of one more unit
    :param intercept: cost at size zero
    :param residual: largest absolute difference of a point from the line
    :param largest_size: largest measured size
    """

    per_unit: float
    intercept: float
    residual: float
    largest_size: float

    @property
    def is_significant(self) -> bool:
        """Tell whether the growth exceeds three times the residual."""
        return (
            abs(self.per_unit) * self.largest_size
            > _MIN_GROWTH_PER_RESIDUAL * self.residual
        )

    @classmethod
    def fit(cls, sizes: Sequence[float], costs: Sequence[float]) -> LinearFit:
        """Fit a line by least squares.

        :param sizes: measured sizes, at least two different ones
        :param costs: cost at each size
        :raises statistics.StatisticsError: all sizes are equal
        """
        line = linear_regression(sizes, costs)
        residual = max(
            abs(cost - line.intercept - line.slope * size)
            for size, cost in zip(sizes, costs, strict=True)
        )
        return cls(line.slope, line.intercept, residual, max(sizes))

    def extrapolates(self, size: float) -> bool:
        """Tell whether a size exceeds all measured ones."""
        return size > self.largest_size
