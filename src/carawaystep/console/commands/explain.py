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
from carawaystep.timeline.decision_lines import filter_by_workflow
from carawaystep.timeline.decision_lines import parse_decision_line
from carawaystep.timeline.time_summary import summarize_time

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaystep.timeline.decision_lines import DecisionLine


@cappa.command(
    name="explain",
    help="Show all decisions about one submission in order of time.",
    description=exit_codes_help(
        ExitCode.OK, ExitCode.DIFFERENT, ExitCode.USAGE
    ),
)
@dataclass
class Explain:
    """Prints the decisions about a submission from logs of all processes."""

    request: Annotated[
        str, cappa.Arg(value_name="ID", help="Id of the submission.")
    ]
    logs: Annotated[
        list[str],
        cappa.Arg(value_name="LOG", help="Decision logs of all processes."),
    ]

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        try:
            decisions = list(self._read_decisions())
        except OSError as error:
            print(f"{error.filename}: {error.strerror}", file=sys.stderr)
            return ExitCode.USAGE
        selected = filter_by_workflow(decisions, self.request)
        if not selected:
            print(
                "check the id and the logs: they contain no decision about"
                f" {self.request}",
                file=sys.stderr,
            )
            return ExitCode.DIFFERENT
        for line in selected:
            inputs = " ".join(
                f"{name}={value}" for name, value in line.inputs.items()
            )
            elapsed_s = line.at - selected[0].at
            print(
                f"{elapsed_s:9.3f} {line.node} {line.event} {line.subject}"
                f" {inputs}".rstrip()
            )
        for text in summarize_time(selected):
            print(text)
        return ExitCode.OK

    def _read_decisions(self) -> Iterator[DecisionLine]:
        for name in self.logs:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                for text in file:
                    line = parse_decision_line(text)
                    if line is not None:
                        yield line
