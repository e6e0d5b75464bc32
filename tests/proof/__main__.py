"""Runs a simulation: ``python -m tests.proof SEED SECONDS [CORES]``."""

from __future__ import annotations

import json
import sys

from tests.proof.simulation import DEFAULT_WORKER_CORES
from tests.proof.simulation import Simulation


def main(arguments: list[str]) -> int:
    """Run one simulation and print a summary as a JSON line.

    :param arguments: seed, virtual seconds and cores of each worker
    :returns: 0 if there were no violations, else 1
    """
    seed = int(arguments[0])
    cpu = float(arguments[2]) if len(arguments) > 2 else DEFAULT_WORKER_CORES
    log = Simulation(seed, float(arguments[1]), cpu=cpu).run()
    for violation in log.violations[:50]:
        print(f"violation: {violation}", file=sys.stderr)
    if log.violations:
        print("\n".join(log.history[-200:]), file=sys.stderr)
    print(
        json.dumps(
            {
                "seed": seed,
                "steps": log.steps,
                "faults": dict(sorted(log.faults.items())),
                "checks": log.checks,
                "violations": len(log.violations),
            }
        )
    )
    return 1 if log.violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
