"""Synthetic measurements with a known cost of each size."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from tools.capacity.plan import combined_scenarios
from tools.capacity.plan import planned_sweeps
from tools.capacity.sample import Sample

if TYPE_CHECKING:
    from tools.capacity.scenario import Scenario

WORKER_BYTES_PER_S = 60.0
WRITES_PER_START = 2.0


def create_sample(scenario: Scenario) -> Sample:
    """Return a sample whose costs are linear in the sizes."""

    def rates(calls: float, size: float) -> dict[str, float]:
        return {
            "calls_per_s": calls,
            "sent_bytes_per_s": size,
            "received_bytes_per_s": 0.0,
        }

    return Sample(
        scenario,
        10.0,
        1.0,
        0.01 + 0.001 * scenario.workers,
        64.0 + 0.05 * scenario.documents,
        {
            "platform/vms": rates(1.0, 100.0 * scenario.vms),
            "platform/transactions": rates(
                0.5 + WRITES_PER_START * scenario.starts_per_s, 200.0
            ),
            "workers/report": rates(
                0.2 * scenario.workers, WORKER_BYTES_PER_S * scenario.workers
            ),
            "workers/tasks": rates(scenario.starts_per_s, 0.0),
            "peers/out": rates(2.0, 300.0),
            "peers/in": rates(2.0, 300.0),
        },
    )


def measurements() -> dict[str, Any]:
    """Return synthetic content of the file of measurements."""
    return {
        "machine": {"cores": 10, "python": "3.11.7"},
        "decisions_us": {
            "placement": {"8": 16.0, "24": 48.0},
            "claim_round": {"0": 3.0, "1000": 1003.0},
            "shards": {"1": 500.0, "15": 7500.0},
            "document": {"1": 2900.0},
        },
        "slopes": {
            sweep.name: [
                {"size": size, "sample": create_sample(scenario).to_json()}
                for size, scenario in sweep.points.items()
            ]
            for sweep in planned_sweeps()
        },
        "combined": {
            name: create_sample(scenario).to_json()
            for name, scenario in combined_scenarios().items()
        },
    }
