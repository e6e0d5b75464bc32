"""Options and arguments that several commands share.

A command names the alias as the type of its field. The aliases are needed at
run time, where cappa reads them.
"""

from __future__ import annotations

from typing import Annotated

import cappa

UrlOption = Annotated[
    str, cappa.Arg(long=True, value_name="URL", help="URL of an entry.")
]

TokenFileOption = Annotated[
    str,
    cappa.Arg(
        long=True, value_name="FILE", help="File that contains a token."
    ),
]

SettingsFileOption = Annotated[
    str, cappa.Arg(long=True, value_name="FILE", help="Settings file.")
]

JsonOption = Annotated[
    bool, cappa.Arg(long=True, help="Write JSON to stdout.")
]

DocumentPathsArgument = Annotated[
    list[str],
    cappa.Arg(
        num_args=-1,
        required=True,
        value_name="PATH",
        help="Files, or directories of .yaml files.",
    ),
]
