"""Tests of the fit."""

from __future__ import annotations

from statistics import StatisticsError

from testtools import ExpectedException
from testtools import TestCase
from testtools.matchers import AfterPreprocessing
from testtools.matchers import Equals

from tools.capacity.linear_fit import LinearFit


def _rounds_to(value: float) -> AfterPreprocessing:
    return AfterPreprocessing(lambda found: round(found, 9), Equals(value))


class LinearFitTest(TestCase):
    """A wrong fit would make every extrapolated figure wrong."""

    def test_points_on_a_line(self) -> None:
        """Base and slope must not be mixed up."""
        slope = LinearFit.fit([8, 24, 48, 96], [19.0, 51.0, 99.0, 195.0])
        self.assertThat(slope.per_unit, _rounds_to(2.0))
        self.assertThat(slope.intercept, _rounds_to(3.0))
        self.assertThat(slope.residual, _rounds_to(0.0))

    def test_the_residual_shows_a_point_off_the_line(self) -> None:
        """A measurement that was disturbed must be visible."""
        slope = LinearFit.fit([0, 1, 2, 3], [0.0, 4.0, 0.0, 4.0])
        self.assertThat(slope.residual, _rounds_to(2.4))

    def test_growth_within_the_residual_is_not_clear(self) -> None:
        """Variation of the polls would pass for a cost of a size."""
        self.assertTrue(
            LinearFit.fit([0, 1, 2], [0.0, 5.1, 9.9]).is_significant
        )
        self.assertFalse(
            LinearFit.fit([0, 1, 2], [0.0, 3.0, 1.0]).is_significant
        )

    def test_sizes_beyond_the_measured_ones_are_extrapolated(self) -> None:
        """An extrapolated figure must not pass for a measured one."""
        slope = LinearFit.fit([8, 96], [1.0, 2.0])
        self.assertFalse(slope.extrapolates(96))
        self.assertTrue(slope.extrapolates(97))

    def test_a_single_size_is_refused(self) -> None:
        """One size says nothing about a slope."""
        with ExpectedException(StatisticsError):
            LinearFit.fit([8, 8], [1.0, 2.0])
