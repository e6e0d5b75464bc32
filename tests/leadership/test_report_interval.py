"""Interval of the reports of workers."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.leadership.report_interval import report_interval_s


class ReportIntervalTest(TestCase):
    """Reports within what the leader can take."""

    def test_few_workers_report_often(self) -> None:
        """Guards against harm that is noticed late without need."""
        self.assertEqual(0.35, report_interval_s(24, 1.07))

    def test_small_leader_is_not_flooded(self) -> None:
        """Guards against a leader that spends its processor on reports."""
        reports_s = 24 / report_interval_s(24, 0.43)
        self.assertLess(reports_s, 0.43 * 120 * 1.1)

    def test_many_workers_still_report_within_a_second(self) -> None:
        """Guards against runs that are taken for lost between reports."""
        self.assertEqual(0.7, report_interval_s(3200, 1.0))

    def test_one_worker_more_changes_nothing(self) -> None:
        """Guards against an assignment to all members at each change."""
        self.assertEqual(
            report_interval_s(60, 1.0), report_interval_s(61, 1.0)
        )
