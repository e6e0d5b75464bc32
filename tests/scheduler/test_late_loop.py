"""Tests of what measures a late event loop and long steps."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from unittest.mock import patch

from testtools import TestCase

from carawaystep.scheduler.interval_timer import IntervalTimer
from carawaystep.scheduler.step_timer import StepTimer
from tests.planner.planners import RecordingLog


class _Clock(SimpleNamespace):
    """Clock that tests set."""

    time = 100.0

    def now(self) -> float:
        return self.time


class IntervalTimerTest(TestCase):
    """Lateness of a task that judges the silence of others."""

    def test_only_a_noticeable_delay_counts(self) -> None:
        """Guards against silence that is the process's own delay."""
        for resumed_after_s, late_s in ((0.1, 0.0), (0.25, 0.0), (2.1, 2.0)):
            clock = _Clock()

            async def sleep(
                seconds: float,
                clock: _Clock = clock,
                resumed_after_s: float = resumed_after_s,
            ) -> None:
                clock.time += resumed_after_s

            with patch.object(asyncio, "sleep", sleep):
                timer = IntervalTimer(clock)  # type: ignore[arg-type]
                measured = asyncio.run(timer.wait(0.1))
            self.assertAlmostEqual(late_s, measured)


class StepTimerTest(TestCase):
    """Log lines about the leader's work."""

    def test_long_steps_and_totals_are_logged(self) -> None:
        """Guards against a leader of which no log tells that it is busy."""
        clock = _Clock()
        log = RecordingLog()
        timer = StepTimer(clock, log, "edge-1")  # type: ignore[arg-type]
        for seconds in (0.01, 0.2):
            with timer.measure("plan"):
                clock.time += seconds
        timer.log_summary(clock.time)
        self.assertEqual([("step.long", "plan")], log.events)
        clock.time += 5.0
        timer.log_summary(clock.time)
        self.assertEqual(("leader.work", "edge-1"), log.events[-1])
        self.assertAlmostEqual(0.21, log.fields["leader.work"]["plan_s"])
        self.assertAlmostEqual(0.2, log.fields["leader.work"]["plan_max_s"])
