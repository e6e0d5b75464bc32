"""Tests of the linear fit."""

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
    """LinearFit, intercept and residual of a fit."""

    def test_points_on_a_line(self) -> None:
        """Guards against swapping the intercept and the slope."""
        fit = LinearFit.fit([8, 24, 48, 96], [19.0, 51.0, 99.0, 195.0])
        self.assertThat(fit.per_unit, _rounds_to(2.0))
        self.assertThat(fit.intercept, _rounds_to(3.0))
        self.assertThat(fit.residual, _rounds_to(0.0))

    def test_the_residual_shows_a_point_off_the_line(self) -> None:
        """Guards against a residual that hides a disturbed measurement."""
        fit = LinearFit.fit([0, 1, 2, 3], [0.0, 4.0, 0.0, 4.0])
        self.assertThat(fit.residual, _rounds_to(2.4))

    def test_growth_within_the_residual_is_not_significant(self) -> None:
        """Guards against variation of the polls that passes for a cost."""
        self.assertTrue(
            LinearFit.fit([0, 1, 2], [0.0, 5.1, 9.9]).is_significant
        )
        self.assertFalse(
            LinearFit.fit([0, 1, 2], [0.0, 3.0, 1.0]).is_significant
        )

    def test_sizes_beyond_the_measured_ones_are_extrapolated(self) -> None:
        """Guards against extrapolated figures that pass for measured ones."""
        fit = LinearFit.fit([8, 96], [1.0, 2.0])
        self.assertFalse(fit.extrapolates(96))
        self.assertTrue(fit.extrapolates(97))

    def test_a_single_size_is_refused(self) -> None:
        """Guards against a slope from points of one size."""
        with ExpectedException(StatisticsError):
            LinearFit.fit([8, 8], [1.0, 2.0])
