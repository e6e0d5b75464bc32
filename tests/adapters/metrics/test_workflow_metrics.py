"""Tests of the metrics of ended workflows."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.adapters.metrics.process_metrics import ProcessMetrics


class WorkflowMetricsTest(TestCase):
    """Tests the rendered text."""

    def test_parts_and_limits_are_counted_by_queue(self) -> None:
        """Guards against metrics that do not show what work waits for."""
        metrics = ProcessMetrics()
        metrics.workflows.record(
            {
                "queue": "bookings",
                "state": "done",
                "use": "late",
                "admission_s": 0.01,
                "wait_s": 0.7,
                "store_s": 0.01,
                "start_s": 0.01,
                "run_s": 0.5,
                "publish_s": 0.01,
                "total_s": 1.24,
                "wait_cpu_s": 0.4,
                "wait_held_s": 0.3,
            }
        )
        lines = metrics.render().decode().split("\n")
        for line in (
            'carawaystep_workflow_part_seconds_bucket{le="1.0",part="wait"'
            ',queue="bookings"} 1.0',
            'carawaystep_workflow_ends_total{queue="bookings",state="done"'
            ',use="late"} 1',
            'carawaystep_workflow_wait_seconds_total{limit="held"'
            ',queue="bookings"} 0.3',
        ):
            self.assertIn(line, lines)
