"""Tests of the adaptive timeout of writes to the store."""

from __future__ import annotations

from testtools import TestCase

from carawaystep_platform.adaptive_timeout import AdaptiveTimeout


class AdaptiveTimeoutTest(TestCase):
    """Lost responses and slow responses."""

    def test_lost_response_of_a_fast_service_costs_little(self) -> None:
        """Guards against waiting 0.8 s for each lost response of a store."""
        timeout = AdaptiveTimeout()
        for _ in range(20):
            timeout.record_response(0.01)
        self.assertLess(timeout.seconds, 0.5)

    def test_responses_of_a_slow_service_are_received(self) -> None:
        """Guards against timing out on every response of a slow store."""
        timeout = AdaptiveTimeout()
        for _ in range(4):
            timeout.record_missing_response()
        self.assertGreater(timeout.seconds, 1.0)
        timeout.record_response(0.01)
        timeout.record_response(0.3)
        self.assertGreater(timeout.seconds, 0.6)

    def test_minimum_avoids_retries_when_a_service_becomes_slow(self) -> None:
        """Guards against retries that add load to a slow store.

        The store answers 50 times slower than usual.
        """
        timeout = AdaptiveTimeout()
        for _ in range(20):
            timeout.record_response(0.005)
        self.assertGreater(timeout.seconds, 0.4)

    def test_timeout_shrinks_once_the_service_is_fast_again(self) -> None:
        """Guards against long timeouts that outlast a slow period."""
        timeout = AdaptiveTimeout()
        timeout.record_missing_response()
        for _ in range(40):
            timeout.record_response(0.01)
        self.assertLess(timeout.seconds, 0.5)
