"""Tests of the metrics of a process."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.adapters.metrics.process_metrics import ProcessMetrics
from carawaystep.request.outcome import Outcome
from carawaystep.request.outcome_reason import OutcomeReason


class ProcessMetricsTest(TestCase):
    """Tests the rendered text."""

    def test_all_metric_types_are_rendered(self) -> None:
        """Guards against text that Prometheus cannot scrape."""
        metrics = ProcessMetrics()
        for seconds in (0.0005, 0.02, 61):
            metrics.request_finished(
                "b", Outcome.UNKNOWN, OutcomeReason.DEADLINE, seconds
            )
        metrics.job_accepted("routes")
        metrics.count("late_answers")
        metrics.count("late_answers", 2)
        metrics.set_gauge("queued", 4)
        metrics.set_gauge("queued", 3)
        lines = metrics.render().decode().split("\n")
        for line in (
            'carawaystep_request_seconds_bucket{le="0.001",service="b"} 1.0',
            'carawaystep_request_seconds_bucket{le="60.0",service="b"} 2.0',
            'carawaystep_request_seconds_bucket{le="+Inf",service="b"} 3.0',
            'carawaystep_request_seconds_count{service="b"} 3.0',
            'carawaystep_jobs_accepted_total{service="routes"} 1',
            "carawaystep_late_answers_total 3",
            "carawaystep_queued 3",
            "# TYPE carawaystep_queued gauge",
        ):
            self.assertIn(line, lines)
        self.assertEqual("", lines[-1])

    def test_metrics_have_separate_registries(self) -> None:
        """Guards against use of the library's global registry."""
        ProcessMetrics().count("a")
        self.assertNotIn(b"carawaystep_a", ProcessMetrics().render())
