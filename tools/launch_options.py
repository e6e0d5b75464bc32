"""Command-line options that the tools that start a deployment share."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import cappa

ExampleArgument = Annotated[
    str, cappa.Arg(help="name of a directory below examples/")
]

EntryCountOption = Annotated[
    int | None,
    cappa.Arg(
        long=True,
        help="number of entry processes, one on each entry VM by default",
    ),
]

RunDirectoryOption = Annotated[
    Path | None,
    cappa.Arg(
        long=True,
        help=(
            "directory for settings, tokens and output, kept after the run;"
            " by default a temporary directory that is removed"
        ),
    ),
]
