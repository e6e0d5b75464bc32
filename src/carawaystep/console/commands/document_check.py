"""The command ``document check``."""

from __future__ import annotations

from dataclasses import dataclass

import cappa
from result import Err

from carawaystep.console.document_files import load_local_documents
from carawaystep.console.exit_code import exit_codes_help
from carawaystep.console.exit_code import ExitCode
from carawaystep.console.options import DocumentPathsArgument  # noqa: TC001
from carawaystep.console.options import JsonOption  # noqa: TC001
from carawaystep.console.problem_output import print_problems
from carawaystep.console.problem_output import print_problems_as_json


@cappa.command(
    name="check",
    help="Check document files without calling an entry.",
    description=exit_codes_help(
        ExitCode.OK, ExitCode.USAGE, ExitCode.INVALID_DOCUMENT
    ),
)
@dataclass
class DocumentCheck:
    """Reports all problems of document files."""

    paths: DocumentPathsArgument
    json: JsonOption = False

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        loaded = load_local_documents(self.paths)
        problems = loaded.err_value if isinstance(loaded, Err) else ()
        if self.json:
            print_problems_as_json(problems)
        else:
            print_problems(problems)
        return ExitCode.INVALID_DOCUMENT if problems else ExitCode.OK
