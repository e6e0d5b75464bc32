"""The command ``document apply``."""

from __future__ import annotations

from dataclasses import dataclass
import json
import sys
from typing import Annotated
from typing import TYPE_CHECKING

import cappa
from result import Err
from result import Ok
from result import Result

from carawaystep.console.apply_result import ApplyOutcome
from carawaystep.console.document_applier import DocumentApplier
from carawaystep.console.document_files import load_local_documents
from carawaystep.console.exit_code import exit_codes_help
from carawaystep.console.exit_code import ExitCode
from carawaystep.console.operator_command import OperatorCommand
from carawaystep.console.operator_command import report_error
from carawaystep.console.options import DocumentPathsArgument  # noqa: TC001
from carawaystep.console.options import JsonOption  # noqa: TC001
from carawaystep.console.options import TokenFileOption  # noqa: TC001
from carawaystep.console.options import UrlOption  # noqa: TC001
from carawaystep.console.problem_output import print_problems
from carawaystep.console.version_file import VersionFile

if TYPE_CHECKING:
    from carawaystep.console.apply_result import ApplyResult
    from carawaystep.console.local_document import LocalDocument
    from carawaystep.console.operator_client import OperatorClient

_SUCCESSES = {ApplyOutcome.APPLIED, ApplyOutcome.UNCHANGED}


@cappa.command(
    name="apply",
    help="Apply documents; none is applied if a file is invalid.",
    description=exit_codes_help(
        ExitCode.OK,
        ExitCode.USAGE,
        ExitCode.CONFLICT,
        ExitCode.NOT_IN_FORCE,
        ExitCode.UNREACHABLE,
        ExitCode.INVALID_DOCUMENT,
    ),
)
@dataclass
class DocumentApply(OperatorCommand):
    """Writes documents if the versions they are based on are current."""

    paths: DocumentPathsArgument
    url: UrlOption
    token_file: TokenFileOption
    wait: Annotated[
        float | None,
        cappa.Arg(
            long=True,
            value_name="SECONDS",
            help="Wait until the documents are in force in every entry.",
        ),
    ] = None
    expected: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            value_name="N",
            help="Version to replace, 0 for a new document; only allowed "
            "with a single file.",
        ),
    ] = None
    json: JsonOption = False

    async def _run(self, client: OperatorClient) -> int:
        if self.wait is not None and not 0 <= self.wait <= 3600:
            return report_error(
                "--wait must be from 0 to 3600 seconds", ExitCode.USAGE
            )
        loaded = load_local_documents(self.paths)
        if isinstance(loaded, Err):
            print_problems(loaded.err_value)
            return ExitCode.INVALID_DOCUMENT
        expected = self._expected_versions(loaded.ok_value)
        if isinstance(expected, Err):
            return report_error(expected.err_value, ExitCode.USAGE)
        applier = DocumentApplier(client, loaded.ok_value, expected.ok_value)
        results = await applier.apply()
        _record_versions(results)
        if not self.json:
            _print_results(results)
        succeeded = [
            result for result in results if result.outcome in _SUCCESSES
        ]
        lagging: dict[str, list[str]] = {}
        if self.wait is not None and len(succeeded) == len(results):
            lagging = await applier.wait_until_in_force(succeeded, self.wait)
        if self.json:
            rows = [_to_row(result) for result in results]
            print(json.dumps({"documents": rows, "lagging": lagging}))
        else:
            self._print_lagging(lagging)
        return _exit_code(results, lagging)

    def _expected_versions(
        self, documents: tuple[LocalDocument, ...]
    ) -> Result[dict[str, int], str]:
        if self.expected is not None:
            if len(documents) != 1 or self.expected < 0:
                return Err(
                    "--expected requires one file and a version of at least 0"
                )
            return Ok({documents[0].service: self.expected})
        versions: dict[str, int] = {}
        for document in documents:
            version_file = VersionFile(document.path.parent)
            version = version_file.get_version(document.service)
            if isinstance(version, Err):
                return version
            versions[document.service] = version.ok_value
        return Ok(versions)

    def _print_lagging(self, lagging: dict[str, list[str]]) -> None:
        for service, names in lagging.items():
            print(
                f"{service}: not in force within {self.wait:g} s at "
                f"{', '.join(names)}; run the command again to wait longer",
                file=sys.stderr,
            )


def _print_results(results: list[ApplyResult]) -> None:
    # Flushed because the operator may interrupt the wait that follows.
    for result in results:
        line = f"{result.document.service}: {result.outcome}"
        if result.outcome in _SUCCESSES:
            print(f"{line}, version {result.version}", flush=True)
        else:
            detail = f": {result.detail}" if result.detail else ""
            print(line + detail, file=sys.stderr, flush=True)


def _record_versions(results: list[ApplyResult]) -> None:
    for result in results:
        if result.outcome not in _SUCCESSES:
            continue
        document = result.document
        version_file = VersionFile(document.path.parent)
        recorded = version_file.record_version(
            document.service, result.version
        )
        if isinstance(recorded, Err):
            print(recorded.err_value, file=sys.stderr)


def _to_row(result: ApplyResult) -> dict[str, str | int]:
    return {
        "service": result.document.service,
        "path": str(result.document.path),
        "outcome": result.outcome,
        "version": result.version,
        "detail": result.detail,
    }


def _exit_code(
    results: list[ApplyResult], lagging: dict[str, list[str]]
) -> ExitCode:
    outcomes = {result.outcome for result in results}
    if ApplyOutcome.CONFLICT in outcomes:
        return ExitCode.CONFLICT
    if outcomes - _SUCCESSES:
        return ExitCode.UNREACHABLE
    return ExitCode.NOT_IN_FORCE if lagging else ExitCode.OK
