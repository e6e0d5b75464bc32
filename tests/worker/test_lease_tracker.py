"""Tests of lease expiry by the clocks of worker and owner."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.worker.lease_tracker import LeaseTracker


class LeaseTrackerTest(TestCase):
    """Expiry of granted leases."""

    def test_lease_expires_after_margin(self) -> None:
        """Guards against a second attempt while the first may still run."""
        tracker = LeaseTracker(30.0, 5.0)
        tracker.observe_clock(1000.0, 10.0)
        self.assertEqual(1030.0, tracker.grant_lease())
        self.assertFalse(tracker.all_expired(44.9))
        self.assertTrue(tracker.all_expired(45.0))

    def test_renewal_without_new_clock_reading_extends_nothing(self) -> None:
        """Guards against a lease counted from when its renewal is sent.

        Without a newer reading of the worker's clock, a renewal grants the
        same expiry again.
        """
        tracker = LeaseTracker(30.0, 5.0)
        tracker.observe_clock(1000.0, 10.0)
        tracker.grant_lease()
        self.assertEqual(1030.0, tracker.grant_lease())
        self.assertTrue(tracker.all_expired(45.0))
