"""Tests of the rate limiter of the stand-in platform."""

from __future__ import annotations

from testtools import TestCase

from carawaystep.standin.platform.token_bucket import TokenBucket


class TokenBucketTest(TestCase):
    """Refusal of calls beyond the rate."""

    def test_sustained_rate_is_limited(self) -> None:
        """Guards against more calls than the rate over a longer time."""
        bucket = TokenBucket(10)
        admitted = sum(
            bucket.try_consume(1, step / 100) for step in range(1000)
        )
        # A full bucket of 10 and the refill during 9.99 s.
        self.assertEqual(109, admitted)

    def test_refused_call_consumes_nothing(self) -> None:
        """Guards against refused calls that keep the bucket empty."""
        bucket = TokenBucket(10)
        self.assertTrue(bucket.try_consume(8, 0.0))
        self.assertFalse(bucket.try_consume(3, 0.0))
        self.assertTrue(bucket.try_consume(2, 0.0))

    def test_large_call_leaves_negative_balance(self) -> None:
        """Guards against large calls that never pass or cost too little."""
        bucket = TokenBucket(10)
        self.assertTrue(bucket.try_consume(30, 0.0))
        self.assertFalse(bucket.try_consume(1, 2.0))
        self.assertTrue(bucket.try_consume(1, 2.2))
