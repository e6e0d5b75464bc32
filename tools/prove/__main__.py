"""Command line of the randomised runs."""

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
from tools.prove.prover import Prover
from tools.run_directory import copy_documents
from tools.run_directory import open_run_directory

_EXAMPLE = REPOSITORY_ROOT / "examples" / "papadakis"


@dataclass
class Prove:
    """Break the processes of papadakis at random and check the invariants."""

    seed: Annotated[int, cappa.Arg(long=True, help="decides all faults")] = 1
    seconds: Annotated[
        float, cappa.Arg(long=True, help="length of the load and the faults")
    ] = 60.0
    directory: Annotated[
        Path | None,
        cappa.Arg(
            long=True,
            help="where settings and output go and stay; without it a"
            " temporary directory is used",
        ),
    ] = None

    async def run(self) -> int:
        """Run once; return the exit code."""
        loaded = load_deployment(_EXAMPLE / "deployment.yaml")
        if isinstance(loaded, Err):
            print(loaded.err_value, file=sys.stderr)
            return 1
        with open_run_directory(self.directory) as directory:
            documents = copy_documents(_EXAMPLE, directory)
            prover = Prover(
                loaded.ok_value,
                directory,
                documents,
                load_services(documents),
                self.seed,
                self.seconds,
            )
            summary = await prover.run()
        print(summary.line(), flush=True)
        return 0 if summary.passed else 1


if __name__ == "__main__":
    sys.exit(run_interruptible(cappa.parse(Prove).run()))
