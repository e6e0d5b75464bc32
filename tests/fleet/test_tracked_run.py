"""Tests of runs whose start was not answered."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.fleet.tracked_run import TrackedRun
from carawaystep.workflow.step_spec import StepSpec


class TrackedRunTest(TestCase):
    """When a run in doubt counts as never started."""

    def test_reports_before_the_stop_is_confirmed_prove_nothing(self) -> None:
        """Guards against a run that starts late and is placed again."""
        run = _run_in_doubt()
        for _ in range(3):
            run.record_report(listed=False)
        self.assertFalse(run.start_ruled_out)

    def test_second_report_after_the_confirmation_rules_out_a_start(
        self,
    ) -> None:
        """Guards against trust in a report from before the confirmation."""
        run = _run_in_doubt()
        run.confirm_stop()
        run.record_report(listed=False)
        self.assertFalse(run.start_ruled_out)
        run.record_report(listed=False)
        self.assertTrue(run.start_ruled_out)

    def test_repeated_confirmation_keeps_the_count(self) -> None:
        """Guards against a run whose repeated stops keep it in doubt."""
        run = _run_in_doubt()
        run.confirm_stop()
        run.record_report(listed=False)
        run.confirm_stop()
        run.record_report(listed=False)
        self.assertTrue(run.start_ruled_out)

    def test_listed_run_is_counted_anew(self) -> None:
        """Guards against a count over reports that are not consecutive."""
        run = _run_in_doubt()
        run.confirm_stop()
        for listed in (False, True, False):
            run.record_report(listed)
        self.assertFalse(run.start_ruled_out)

    def test_discarded_confirmation_is_needed_again(self) -> None:
        """Guards against reports of a new member before its own stop."""
        run = _run_in_doubt()
        run.confirm_stop()
        run.record_report(listed=False)
        run.discard_stop_confirmation()
        for _ in range(2):
            run.record_report(listed=False)
        self.assertFalse(run.start_ruled_out)

    def test_run_that_started_is_never_ruled_out(self) -> None:
        """Guards against a lost run whose end is still to be reported."""
        run = TrackedRun(1, StepSpec(1, cpu_millis=1000, memory_mb=10), 0, 0.0)
        run.confirm_stop()
        for _ in range(2):
            run.record_report(listed=False)
        self.assertFalse(run.start_ruled_out)


def _run_in_doubt() -> TrackedRun:
    step = StepSpec(1, cpu_millis=1000, memory_mb=10)
    return TrackedRun(1, step, 0, 0.0, in_doubt=True)
