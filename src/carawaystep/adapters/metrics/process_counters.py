"""Counters that are exported as metrics of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.entry.counters import Counters

if TYPE_CHECKING:
    from carawaystep.adapters.metrics.process_metrics import ProcessMetrics


class ProcessCounters(Counters):
    """Forwards counts and gauges to the metrics of the process."""

    def __init__(self, metrics: ProcessMetrics) -> None:
        """Create the counters.

        :param metrics: metrics of the process
        """
        self._metrics = metrics

    def count(self, name: str, n: int = 1) -> None:
        """Increment a counter."""
        self._metrics.count(name, n)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._metrics.set_gauge(name, value)
