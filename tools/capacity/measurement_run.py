"""Runs all measurements and saves the results."""

from __future__ import annotations

import json
import os
import platform
from typing import TYPE_CHECKING

from tools.capacity.decision_costs import DecisionCosts
from tools.capacity.plan import combined_scenarios
from tools.capacity.plan import planned_sweeps

if TYPE_CHECKING:
    from pathlib import Path
    from typing import Any

    from tools.capacity.sampler import Sampler

_WORKER_COUNTS = (8, 24, 96, 214)
_QUEUED_JOB_COUNTS = (0, 1000, 4000, 10_000)
_ZONE_COUNTS = (1, 3, 6, 15)


class MeasurementRun:
    """Measures each planned scenario once."""

    def __init__(self, sampler: Sampler) -> None:
        """Create a run.

        :param sampler: measures entry processes
        """
        self._sampler = sampler

    async def run(self) -> dict[str, Any]:
        """Measure all scenarios and decisions.

        :returns: JSON object with the results, which ``CapacityReport`` reads
        """
        sweeps, combined = planned_sweeps(), combined_scenarios()
        # Sweeps have scenarios in common, which are measured only once.
        scenarios = list(
            dict.fromkeys(
                [s for sweep in sweeps for s in sweep.points.values()]
                + list(combined.values())
            )
        )
        decisions = self._measure_decisions()
        samples = await self._sampler.measure_all(scenarios)
        samples_by_scenario = dict(zip(scenarios, samples, strict=True))
        return {
            "machine": {
                "cores": os.cpu_count(),
                "python": platform.python_version(),
            },
            "decisions_us": decisions,
            "slopes": {
                sweep.name: [
                    {
                        "size": size,
                        "sample": samples_by_scenario[scenario].to_json(),
                    }
                    for size, scenario in sweep.points.items()
                ]
                for sweep in sweeps
            },
            "combined": {
                name: samples_by_scenario[scenario].to_json()
                for name, scenario in combined.items()
            },
        }

    @staticmethod
    def save(measurements: dict[str, Any], path: Path) -> None:
        """Write the results to a JSON file.

        :param measurements: result of ``run``
        :param path: the file
        """
        path.write_text(json.dumps(measurements, indent=1) + "\n")

    @staticmethod
    def _measure_decisions() -> dict[str, dict[str, float]]:
        costs = DecisionCosts()
        return {
            "placement": {
                str(n): costs.placement_us(n) for n in _WORKER_COUNTS
            },
            "claim_round": {
                str(n): costs.claim_round_us(n) for n in _QUEUED_JOB_COUNTS
            },
            "shards": {str(n): costs.shards_us(n) for n in _ZONE_COUNTS},
            "document": {"1": costs.document_us()},
        }
