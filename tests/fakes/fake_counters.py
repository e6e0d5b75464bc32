"""In-memory counters for tests."""

from __future__ import annotations

from collections import Counter

from carawaystep.entry.counters import Counters


class FakeCounters(Counters):
    """Counters that a test can read."""

    def __init__(self) -> None:
        """Create counters at zero."""
        self.counts: Counter[str] = Counter()

    def count(self, name: str, n: int = 1) -> None:
        """Increment a counter."""
        self.counts[name] += n

    def set_gauge(self, name: str, value: float) -> None:
        """Ignore gauges."""
