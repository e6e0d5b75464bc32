"""Runs an example deployment until it is interrupted."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import json
import sys
from typing import Annotated

import cappa
from result import Err

from tools.deployment import load_deployment
from tools.interruptible import run_interruptible
from tools.launch_options import EntryCountOption  # noqa: TC001
from tools.launch_options import ExampleArgument  # noqa: TC001
from tools.launch_options import RunDirectoryOption  # noqa: TC001
from tools.launcher import Launcher
from tools.managed_process import REPOSITORY_ROOT
from tools.run_directory import copy_documents
from tools.run_directory import open_run_directory


@dataclass
class Launch:
    """Run an example deployment on loopback."""

    example: ExampleArgument
    entries: EntryCountOption = None
    seconds: Annotated[
        float | None,
        cappa.Arg(
            long=True,
            help="seconds until it stops; by default at SIGTERM or SIGINT",
        ),
    ] = None
    directory: RunDirectoryOption = None

    async def run(self) -> int:
        """Run the deployment until the time is over or a signal arrives.

        :returns: exit code
        """
        example = REPOSITORY_ROOT / "examples" / self.example
        loaded = load_deployment(example / "deployment.yaml", self.entries)
        if isinstance(loaded, Err):
            return self._report_failure(loaded.err_value)
        with open_run_directory(self.directory) as directory:
            copy_documents(example, directory)
            return await self._run(
                Launcher(loaded.ok_value, directory, self.entries)
            )

    async def _run(self, launcher: Launcher) -> int:
        started = await launcher.start()
        if isinstance(started, Err):
            return self._report_failure(str(started.err_value))
        try:
            print(json.dumps(launcher.describe()), flush=True)
            await self._wait_for_end()
        except asyncio.CancelledError:
            print("launch: interrupted, stopping", file=sys.stderr)
        finally:
            await launcher.stop()
        return 0

    async def _wait_for_end(self) -> None:
        if self.seconds is None:
            await asyncio.Event().wait()
        else:
            await asyncio.sleep(self.seconds)

    @staticmethod
    def _report_failure(detail: str) -> int:
        print(f"launch: {detail}", file=sys.stderr)
        return 1


def main() -> int:
    """Run the command line."""
    return run_interruptible(cappa.parse(Launch).run())


if __name__ == "__main__":
    sys.exit(main())
