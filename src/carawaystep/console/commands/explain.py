"""The command ``explain``."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
import sys
from typing import Annotated
from typing import TYPE_CHECKING

import cappa

from carawaystep.console.exit_code import exit_codes_help
from carawaystep.console.exit_code import ExitCode
from carawaystep.timeline.decision_lines import filter_by_request
from carawaystep.timeline.decision_lines import parse_decision_line

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.timeline.decision_lines import DecisionLine


@cappa.command(
    name="explain",
    help="Show all decisions about one request.",
    description=exit_codes_help(
        ExitCode.OK, ExitCode.DIFFERENT, ExitCode.USAGE
    ),
)
@dataclass
class Explain:
    """Prints the time line of a request from collected logs."""

    request: Annotated[
        str, cappa.Arg(value_name="ID", help="Id of the request.")
    ]
    logs: Annotated[
        list[str],
        cappa.Arg(value_name="LOG", help="Logs of all processes."),
    ]

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        try:
            lines = list(self._read())
        except OSError as error:
            print(f"{error.filename}: {error.strerror}", file=sys.stderr)
            return ExitCode.USAGE
        found = filter_by_request(lines, self.request)
        if not found:
            print(f"no decision about {self.request}", file=sys.stderr)
            return ExitCode.DIFFERENT
        for line in found:
            inputs = " ".join(f"{k}={v}" for k, v in line.inputs.items())
            since_s = line.at - found[0].at
            print(
                f"{since_s:9.3f} {line.node} {line.event} {line.subject}"
                f" {inputs}".rstrip()
            )
        return ExitCode.OK

    def _read(self) -> Iterator[DecisionLine]:
        for name in self.logs:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                for text in file:
                    line = parse_decision_line(text)
                    if line is not None:
                        yield line
