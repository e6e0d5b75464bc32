"""Runs simulations: ``python -m tests.scheduler.simulation --help``."""

from __future__ import annotations

import argparse
import json
import sys

from tests.scheduler.simulation.faulty_variants import faulty_variant
from tests.scheduler.simulation.faulty_variants import VARIANT_NAMES
from tests.scheduler.simulation.scheduler_simulation import SchedulerSimulation

_MAX_VIOLATIONS = 20


def main() -> int:
    """Run the seeds and print a JSON line for each.

    :returns: 0 if there were no violations, else 1
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seed", type=int)
    parser.add_argument("seconds", type=float)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--variant", choices=VARIANT_NAMES, default="none")
    parser.add_argument("--history", action="store_true")
    parser.add_argument("--evacuate", action="store_true")
    arguments = parser.parse_args()
    status = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        with faulty_variant(arguments.variant):
            record = SchedulerSimulation(
                seed, arguments.seconds, arguments.evacuate
            ).run()
        if arguments.history:
            print("\n".join(record.history), file=sys.stderr)
        for violation in record.violations[:_MAX_VIOLATIONS]:
            print(f"seed {seed}: {violation}", file=sys.stderr)
        status |= bool(record.violations)
        summary = {
            "seed": seed,
            "faults": sum(record.faults.values()),
            "stale_states": record.stale_states,
            "refusals": record.refusals,
            "checks": record.checks,
            "violations": len(record.violations),
        }
        print(json.dumps(summary), flush=True)
    return status


if __name__ == "__main__":
    sys.exit(main())
