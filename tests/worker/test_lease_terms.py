"""Tests of lease ends in two clocks."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.worker.lease_terms import LeaseTerms


class LeaseTermsTest(TestCase):
    """Ends of leases by the clocks of worker and owner."""

    def test_lease_ends_after_the_margin(self) -> None:
        """Guards against a second attempt while the first may run."""
        terms = LeaseTerms(30.0, 5.0)
        terms.see(1000.0, 10.0)
        self.assertEqual(1030.0, terms.grant())
        self.assertFalse(terms.all_ended(44.9))
        self.assertTrue(terms.all_ended(45.0))

    def test_late_renewal_extends_nothing(self) -> None:
        """Guards against a lease counted from when it was sent."""
        terms = LeaseTerms(30.0, 5.0)
        terms.see(1000.0, 10.0)
        terms.grant()
        self.assertEqual(1030.0, terms.grant())
        self.assertTrue(terms.all_ended(45.0))
