"""Tests of the capacity report and its page."""

from __future__ import annotations

from testtools import ExpectedException
from testtools import TestCase
from testtools.matchers import Contains

from tests.tools.capacity.synthetic_measurements import measurements
from tests.tools.capacity.synthetic_measurements import WRITES_PER_START
from tools.capacity.capacity_figures import CapacityFigures
from tools.capacity.capacity_page import CapacityPage
from tools.capacity.capacity_report import CapacityReport
from tools.capacity.limits import describe_limit_result
from tools.capacity.markdown import to_cell


class CapacityReportTest(TestCase):
    """The tables show the right figures and verdicts."""

    def setUp(self) -> None:
        """Create a report of the synthetic measurements."""
        super().setUp()
        self.report = CapacityReport(measurements())

    def test_writes_of_a_start_do_not_include_heartbeats(self) -> None:
        """Guards against counting heartbeats as writes of a start."""
        self.assertAlmostEqual(
            WRITES_PER_START, CapacityFigures(measurements()).writes_per_start
        )

    def test_the_table_service_is_over_its_limit_at_the_peak(self) -> None:
        """Guards against a table that hides an exceeded limit.

        67.5 heartbeats and 600 writes of jobs exceed 400 writes a second.
        """
        self.assertThat(
            self.report.blocks()["table"],
            Contains(
                "| all writes at the peak/s | 4.5 | 668 | 623 |  | 400 | no,"
            ),
        )

    def test_figures_beyond_the_measured_sizes_are_marked(self) -> None:
        """Guards against extrapolated figures without a mark.

        70 workers are within the measured 96, but 413 tasks exceed 44.
        """
        rows = self.report.blocks()["entry"].splitlines()
        marked = {row.split(" | ")[0] for row in rows if "(e)" in row}
        self.assertEqual({"| running tasks"}, marked)

    def test_a_missed_budget_says_by_how_much(self) -> None:
        """Guards against an exceeded budget that is reported as kept."""
        self.assertEqual("yes", describe_limit_result([3.0, 3.6], 3.6))
        self.assertEqual(
            "no, up to 2 times the limit",
            describe_limit_result([3.0, 7.2], 3.6),
        )

    def test_cells_have_three_digits(self) -> None:
        """Guards against rounding away small slopes of a size of 3,200."""
        self.assertEqual("0.00123", to_cell(0.0012345))
        self.assertEqual("12,300", to_cell(12345.6))


class CapacityPageTest(TestCase):
    """Only the generated blocks of the page are replaced."""

    def test_text_around_a_block_stays(self) -> None:
        """Guards against losing the sections written by hand."""
        page = CapacityPage("a\n<!-- x -->\nold\n<!-- end -->\nb\n")
        self.assertEqual(
            "a\n<!-- x -->\n| 1 |\n<!-- end -->\nb\n",
            page.with_blocks({"x": "| 1 |\n"}),
        )

    def test_a_missing_block_is_refused(self) -> None:
        """Guards against a table that silently disappears from the page."""
        with ExpectedException(
            ValueError, "the page must have exactly one block.*"
        ):
            CapacityPage("a\n").with_blocks({"x": ""})
