"""Prometheus metrics of the time that workflows took, by queue."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Histogram

if TYPE_CHECKING:
    from collections.abc import Mapping

    from aioprometheus.collectors import Registry

_PARTS = ("admission", "wait", "store", "start", "run", "publish", "total")
_LIMIT_PREFIX = "wait_"
_SECONDS_SUFFIX = "_s"
# Around the tenths of a second that urgent work has, up to minutes.
_BUCKETS_S = (0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0)


class WorkflowMetrics:
    """Records the parts of each ended workflow and what it waited for."""

    def __init__(self, registry: Registry) -> None:
        """Register the metrics.

        :param registry: registry of the process
        """
        self._parts = Histogram(
            "carawaystep_workflow_part_seconds",
            "Seconds of ended workflows by queue and part",
            registry=registry,
            buckets=_BUCKETS_S,
        )
        self._uses = Counter(
            "carawaystep_workflow_ends_total",
            "Ended workflows by queue, state and use to the caller",
            registry=registry,
        )
        self._waits = Counter(
            "carawaystep_workflow_wait_seconds_total",
            "Seconds that steps waited for a worker, by queue and limit",
            registry=registry,
        )

    def record(self, inputs: Mapping[str, str | int | float]) -> None:
        """Record an ended workflow.

        :param inputs: fields of its line ``workflow.timed``
        """
        queue = {"queue": str(inputs["queue"])}
        self._uses.inc(
            {
                **queue,
                "state": str(inputs["state"]),
                "use": str(inputs["use"]),
            }
        )
        for part in _PARTS:
            seconds = float(inputs[part + _SECONDS_SUFFIX])
            self._parts.observe({**queue, "part": part}, seconds)
        for name, value in inputs.items():
            if name.startswith(_LIMIT_PREFIX) and name != "wait_s":
                limit = name.removeprefix(_LIMIT_PREFIX)
                limit = limit.removesuffix(_SECONDS_SUFFIX)
                self._waits.add({**queue, "limit": limit}, float(value))
