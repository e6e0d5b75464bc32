"""The command ``document check``."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated
from typing import TYPE_CHECKING

import cappa
from result import Err
from result import Ok
from result import Result

from carawaystep.configuration_check.configuration import CheckSubject
from carawaystep.configuration_check.configuration_checker import (
    ConfigurationChecker,
)
from carawaystep.configuration_check.configuration_checker import is_accepted
from carawaystep.configuration_check.document_paths import DocumentPaths
from carawaystep.configuration_check.service_configuration import (
    configuration_of_services,
)
from carawaystep.configuration_check.standard_checks import document_checks
from carawaystep.console.document_files import load_local_documents
from carawaystep.console.exit_code import exit_codes_help
from carawaystep.console.exit_code import ExitCode
from carawaystep.console.finding_output import print_checked_documents
from carawaystep.console.finding_output import print_checked_documents_as_json
from carawaystep.console.fleet_file import load_fleet_file
from carawaystep.console.options import DocumentPathsArgument  # noqa: TC001
from carawaystep.console.options import JsonOption  # noqa: TC001
from carawaystep.console.problem_output import print_problems

if TYPE_CHECKING:
    from carawaystep.configuration_check.configuration import Configuration
    from carawaystep.configuration_check.finding import Finding
    from carawaystep.configuration_check.fleet import Fleet
    from carawaystep.console.local_document import LocalDocument
    from carawaystep.validation.problem import Problem


@cappa.command(
    name="check",
    help="Check document files without calling an entry.",
    description=exit_codes_help(
        ExitCode.OK, ExitCode.USAGE, ExitCode.INVALID_DOCUMENT
    ),
)
@dataclass
class DocumentCheck:
    """Reports problems of document files, and what cannot work."""

    paths: DocumentPathsArgument
    fleet: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            value_name="FILE",
            help="YAML file that lists the sizes of the workers.",
        ),
    ] = None
    in_force: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            value_name="PATH",
            help="File or directory of the documents that are in force.",
        ),
    ] = None
    strict: Annotated[
        bool, cappa.Arg(long=True, help="Refuse warnings, too.")
    ] = False
    json: JsonOption = False

    def __call__(self) -> int:
        """Run the command and return its exit code."""
        fleet = _load_fleet(self.fleet)
        in_force = _load_in_force(self.in_force)
        for read in (fleet, in_force):
            if isinstance(read, Err):
                print_problems(read.err_value)
                return ExitCode.USAGE
        problems: tuple[Problem, ...] = ()
        findings: tuple[Finding, ...] = ()
        loaded = load_local_documents(self.paths)
        if isinstance(loaded, Err):
            problems = loaded.err_value
        else:
            findings = _check(loaded.ok_value, fleet.ok(), in_force.ok())
        accepted = not problems and is_accepted(findings, self.strict)
        if self.json:
            print_checked_documents_as_json(problems, findings, accepted)
        else:
            print_checked_documents(problems, findings)
        return ExitCode.OK if accepted else ExitCode.INVALID_DOCUMENT


def _check(
    documents: tuple[LocalDocument, ...],
    fleet: Fleet | None,
    in_force: Configuration | None,
) -> tuple[Finding, ...]:
    """Return the findings about valid documents."""
    subject = CheckSubject(
        configuration_of_services(document.spec for document in documents),
        DocumentPaths(tuple(str(document.path) for document in documents)),
        in_force=in_force,
        fleet=fleet,
    )
    return ConfigurationChecker(document_checks()).check(subject)


def _load_fleet(
    path: str | None,
) -> Result[Fleet | None, tuple[Problem, ...]]:
    if path is None:
        return Ok(None)
    loaded = load_fleet_file(Path(path))
    return loaded if isinstance(loaded, Err) else Ok(loaded.ok_value)


def _load_in_force(
    path: str | None,
) -> Result[Configuration | None, tuple[Problem, ...]]:
    if path is None:
        return Ok(None)
    return load_local_documents([path]).map(
        lambda documents: configuration_of_services(
            document.spec for document in documents
        )
    )
