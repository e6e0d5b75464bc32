"""Tests of the record of lease extensions."""

from __future__ import annotations

from types import SimpleNamespace

from testtools import TestCase

from carawaystep.scheduler.lease_extensions import LeaseExtensions


class LeaseExtensionsTest(TestCase):
    """Extensions by one process, which started at 10 s."""

    def setUp(self) -> None:
        """Create a record with a settable clock."""
        super().setUp()
        self.clock = SimpleNamespace(time=10.0)
        self.clock.now = lambda: self.clock.time
        self.extensions = LeaseExtensions(self.clock)  # type: ignore[arg-type]

    def test_age_counts_from_the_end_of_the_last_call(self) -> None:
        """Guards against a lease that ends later than a leader is told.

        Its deadline is computed at any time during the call.
        """
        with self.extensions.call("w1"):
            self.clock.time = 12.0
        self.assertEqual({"w1": 3.0}, self.extensions.ages_s(15.0))
        self.assertEqual(5.0, self.extensions.process_age_s(15.0))

    def test_open_call_counts_as_an_extension_now(self) -> None:
        """Guards against an extension that is sent after the statement."""
        with self.extensions.call("w1"):
            self.clock.time = 12.0
            with self.extensions.call("w1"):
                self.clock.time = 13.0
            self.assertEqual({"w1": 0.0}, self.extensions.ages_s(14.0))
        self.assertEqual({"w1": 1.0}, self.extensions.ages_s(14.0))

    def test_failed_call_may_have_extended_the_lease(self) -> None:
        """Guards against leaving out a call without an answer."""
        try:
            with self.extensions.call("w1"):
                raise TimeoutError
        except TimeoutError:
            pass
        self.assertEqual({"w1": 1.0}, self.extensions.ages_s(11.0))

    def test_old_extensions_are_forgotten(self) -> None:
        """Guards against a record of all workers that there ever were."""
        for number in range(100):
            with self.extensions.call(f"w{number}"):
                self.clock.time += 1.0
        self.assertLess(len(self.extensions.ages_s(self.clock.time)), 11)
