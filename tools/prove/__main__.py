"""Command line of the fault injection runs."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path  # noqa: TC003 (cappa reads the annotation)
import sys
from typing import Annotated

import cappa
from result import Err

from tools.deployment import load_deployment
from tools.example_service import load_services
from tools.interruptible import run_interruptible
from tools.managed_process import REPOSITORY_ROOT
from tools.prove.fault_injection_runner import FaultInjectionRunner
from tools.run_directory import copy_documents
from tools.run_directory import open_run_directory

_EXAMPLE = REPOSITORY_ROOT / "examples" / "papadakis"


@dataclass
class Prove:
    """Inject random faults into the papadakis example; check invariants."""

    seed: Annotated[
        int, cappa.Arg(long=True, help="seed of all random choices")
    ] = 1
    seconds: Annotated[
        float, cappa.Arg(long=True, help="duration of load and faults")
    ] = 60.0
    directory: Annotated[
        Path | None,
        cappa.Arg(
            long=True,
            help="directory that keeps settings and output; a temporary one"
            " by default",
        ),
    ] = None

    async def run(self) -> int:
        """Run once; return the exit code, 0 when the run passed."""
        loaded = load_deployment(_EXAMPLE / "deployment.yaml")
        if isinstance(loaded, Err):
            print(loaded.err_value, file=sys.stderr)
            return 1
        with open_run_directory(self.directory) as directory:
            documents = copy_documents(_EXAMPLE, directory)
            runner = FaultInjectionRunner(
                loaded.ok_value,
                directory,
                documents,
                load_services(documents),
                self.seed,
                self.seconds,
            )
            summary = await runner.run()
        print(summary.to_json_line(), flush=True)
        return 0 if summary.passed else 1


if __name__ == "__main__":
    sys.exit(run_interruptible(cappa.parse(Prove).run()))
