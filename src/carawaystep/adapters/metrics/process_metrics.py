"""Prometheus metrics of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.formats.text import TEXT_CONTENT_TYPE
from aioprometheus.formats.text import TextFormatter

from carawaystep.adapters.metrics.workflow_metrics import WorkflowMetrics

if TYPE_CHECKING:
    from carawaystep.request.outcome import Outcome
    from carawaystep.request.outcome_reason import OutcomeReason

_PREFIX = "carawaystep"

# From 1 ms to 60 s, the default maximum of a request's deadline.
_LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)


class ProcessMetrics:
    """Metrics of one process in a registry of their own."""

    content_type: str = TEXT_CONTENT_TYPE

    def __init__(self) -> None:
        """Create the registry with the metrics of requests and jobs."""
        self._registry = Registry()
        self._requests = Counter(
            f"{_PREFIX}_requests_total",
            "Requests by service, outcome and reason",
            registry=self._registry,
        )
        self._request_latency = Histogram(
            f"{_PREFIX}_request_seconds",
            "Seconds from the arrival of a request to its reply",
            registry=self._registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self._jobs = Counter(
            f"{_PREFIX}_jobs_accepted_total",
            "Accepted jobs by service",
            registry=self._registry,
        )
        self._workflows = WorkflowMetrics(self._registry)
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}

    @property
    def workflows(self) -> WorkflowMetrics:
        """Return the metrics of workflows that have ended."""
        return self._workflows

    def request_finished(
        self,
        service: str,
        outcome: Outcome,
        reason: OutcomeReason,
        seconds: float,
    ) -> None:
        """Count the reply to a request and record its latency.

        :param service: name of an existing service; other names would
            create any number of label values
        :param outcome: outcome in the reply
        :param reason: why the request did not run or its outcome is unknown
        :param seconds: seconds from the arrival of the request to its reply
        """
        labels = {"service": service}
        self._request_latency.observe(labels, seconds)
        self._requests.inc(
            {**labels, "outcome": str(outcome), "reason": str(reason)}
        )

    def job_accepted(self, service: str) -> None:
        """Count an accepted job, that is, one whose row was stored."""
        self._jobs.inc({"service": service})

    def count(self, name: str, n: int = 1) -> None:
        """Increment a counter without labels.

        :param name: name in snake case, without prefix and ``_total``
        :param n: increment
        """
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(
                f"{_PREFIX}_{name}_total",
                name.replace("_", " "),
                registry=self._registry,
            )
            self._counters[name] = counter
        counter.add({}, n)

    def observe_duration(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram without labels.

        :param name: name in snake case, without prefix and ``_seconds``
        :param seconds: duration in seconds
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                f"{_PREFIX}_{name}_seconds",
                f"Seconds of {name.replace('_', ' ')}",
                registry=self._registry,
                buckets=_LATENCY_BUCKETS_S,
            )
            self._histograms[name] = histogram
        histogram.observe({}, seconds)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge without labels.

        :param name: name in snake case, without prefix
        :param value: current value
        """
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(
                f"{_PREFIX}_{name}",
                name.replace("_", " "),
                registry=self._registry,
            )
            self._gauges[name] = gauge
        gauge.set({}, value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return TextFormatter().marshall(self._registry)
