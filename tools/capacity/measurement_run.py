"""All measurements of one run, and their file."""

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

_WORKERS = (8, 24, 96, 214)
_QUEUED = (0, 1000, 4000, 10_000)
_ZONES = (1, 3, 6, 15)


class MeasurementRun:
    """Measures every planned size once."""

    def __init__(self, sampler: Sampler) -> None:
        """Create a run.

        :param sampler: measures entry processes
        """
        self._sampler = sampler

    async def run(self) -> dict[str, Any]:
        """Measure and return the raw figures as JSON values."""
        slopes, combined = planned_sweeps(), combined_scenarios()
        # Slopes share their smallest scenario, which is measured once.
        wanted = list(
            dict.fromkeys(
                [s for slope in slopes for s in slope.points.values()]
                + list(combined.values())
            )
        )
        decisions = self._decisions()
        samples = await self._sampler.measure_all(wanted)
        found = dict(zip(wanted, samples, strict=True))
        return {
            "machine": {
                "cores": os.cpu_count(),
                "python": platform.python_version(),
            },
            "decisions_us": decisions,
            "slopes": {
                slope.name: [
                    {"size": size, "sample": found[scenario].to_json()}
                    for size, scenario in slope.points.items()
                ]
                for slope in slopes
            },
            "combined": {
                name: found[scenario].to_json()
                for name, scenario in combined.items()
            },
        }

    @staticmethod
    def save(measurements: dict[str, Any], path: Path) -> None:
        """Write the raw figures."""
        path.write_text(json.dumps(measurements, indent=1) + "\n")

    @staticmethod
    def _decisions() -> dict[str, dict[str, float]]:
        costs = DecisionCosts()
        return {
            "placement": {str(n): costs.placement_us(n) for n in _WORKERS},
            "claim_round": {str(n): costs.claim_round_us(n) for n in _QUEUED},
            "shards": {str(n): costs.shards_us(n) for n in _ZONES},
            "document": {"1": costs.document_us()},
        }
