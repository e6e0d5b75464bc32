"""Tests of the time limit of writes."""

from __future__ import annotations

from testtools import TestCase

from carawaystep_platform.adaptive_timeout import AdaptiveTimeout


class AdaptiveTimeoutTest(TestCase):
    """Lost answers and slow ones."""

    def test_lost_answer_of_a_quick_service_costs_little(self) -> None:
        """Guards against 0.8 s for each lost answer of a store."""
        limit = AdaptiveTimeout()
        for _ in range(20):
            limit.answered(0.01)
        self.assertLess(limit.seconds, 0.5)

    def test_slow_service_is_heard(self) -> None:
        """Guards against giving up on every answer of a slow store."""
        limit = AdaptiveTimeout()
        for _ in range(4):
            limit.missed()
        self.assertGreater(limit.seconds, 1.0)
        limit.answered(0.01)
        limit.answered(0.3)
        self.assertGreater(limit.seconds, 0.6)

    def test_slow_spell_begins_without_repeats(self) -> None:
        """Guards against repeats that load a store 50 times slower."""
        limit = AdaptiveTimeout()
        for _ in range(20):
            limit.answered(0.005)
        self.assertGreater(limit.seconds, 0.4)

    def test_limit_returns_after_the_service_has(self) -> None:
        """Guards against long limits that outlive a slow spell."""
        limit = AdaptiveTimeout()
        limit.missed()
        for _ in range(40):
            limit.answered(0.01)
        self.assertLess(limit.seconds, 0.5)
