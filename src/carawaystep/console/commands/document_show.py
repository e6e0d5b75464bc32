"""The command ``document show``."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
import json
from pathlib import Path
import re
from typing import Annotated
from typing import TYPE_CHECKING

import cappa
from result import Err

from carawaystep.console.exit_code import exit_codes_help
from carawaystep.console.exit_code import ExitCode
from carawaystep.console.operator_command import OperatorCommand
from carawaystep.console.operator_command import report_error
from carawaystep.console.options import JsonOption  # noqa: TC001
from carawaystep.console.options import TokenFileOption  # noqa: TC001
from carawaystep.console.options import UrlOption  # noqa: TC001
from carawaystep.console.version_file import VersionFile
from carawaystep.console.version_file import write_file_atomically

if TYPE_CHECKING:
    from carawaystep.console.operator_client import OperatorClient


@cappa.command(
    name="show",
    help="Show the document in force of a service.",
    description=exit_codes_help(
        ExitCode.OK, ExitCode.USAGE, ExitCode.UNREACHABLE
    ),
)
@dataclass
class DocumentShow(OperatorCommand):
    """Writes a document to stdout, or to a file and records its version."""

    service: Annotated[
        str, cappa.Arg(value_name="SERVICE", help="Name of the service.")
    ]
    url: UrlOption
    token_file: TokenFileOption
    save: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            value_name="FILE",
            help="Replace FILE and record its version for apply.",
        ),
    ] = None
    json: JsonOption = False

    async def _run(self, client: OperatorClient) -> int:
        if not re.fullmatch("[a-z0-9-]{1,63}", self.service):
            return report_error(
                f"{self.service} is not a valid service name; use a-z, 0-9 "
                "and hyphens",
                ExitCode.USAGE,
            )
        answer = await client.get_document(self.service)
        if isinstance(answer, Err):
            return report_error(answer.err_value.detail, ExitCode.UNREACHABLE)
        document = answer.ok_value
        if document.version == 0:
            return report_error(
                f"{self.service} has no document at {self.url}; apply one",
                ExitCode.UNREACHABLE,
            )
        if self.save:
            return self._save(document.text, document.version, self.save)
        if self.json:
            print(json.dumps(asdict(document)))
        else:
            print(document.text, end="")
        return ExitCode.OK

    def _save(self, text: str, version: int, file_name: str) -> int:
        path = Path(file_name)
        # The text is written first. If only one of the two files is written,
        # apply then reports a conflict, whereas an old text with a new
        # version would overwrite the newer document.
        saved = write_file_atomically(path, text).and_then(
            lambda _: VersionFile(path.parent).record_version(
                self.service, version
            )
        )
        if isinstance(saved, Err):
            return report_error(saved.err_value, ExitCode.USAGE)
        print(f"{self.service}: version {version} saved to {path}")
        return ExitCode.OK
