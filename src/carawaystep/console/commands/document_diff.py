"""The command ``document diff``."""

from __future__ import annotations

from dataclasses import dataclass
import difflib
import json
from typing import Annotated
from typing import Any
from typing import TYPE_CHECKING

import cappa
from result import Err

from carawaystep.console.document_files import load_local_documents
from carawaystep.console.exit_code import exit_codes_help
from carawaystep.console.exit_code import ExitCode
from carawaystep.console.operator_command import OperatorCommand
from carawaystep.console.operator_command import report_error
from carawaystep.console.options import JsonOption  # noqa: TC001
from carawaystep.console.options import TokenFileOption  # noqa: TC001
from carawaystep.console.options import UrlOption  # noqa: TC001
from carawaystep.console.problem_output import print_problems

if TYPE_CHECKING:
    from carawaystep.console.local_document import LocalDocument
    from carawaystep.console.operator_client import OperatorClient
    from carawaystep.console.remote_document import RemoteDocument


@cappa.command(
    name="diff",
    help="Show how files differ from the documents in force.",
    description=exit_codes_help(
        ExitCode.OK,
        ExitCode.DIFFERENT,
        ExitCode.USAGE,
        ExitCode.UNREACHABLE,
        ExitCode.INVALID_DOCUMENT,
    ),
)
@dataclass
class DocumentDiff(OperatorCommand):
    """Compares files with the documents in force in an entry."""

    path: Annotated[
        str,
        cappa.Arg(
            value_name="PATH", help="File, or directory of .yaml files."
        ),
    ]
    url: UrlOption
    token_file: TokenFileOption
    json: JsonOption = False

    async def _run(self, client: OperatorClient) -> int:
        loaded = load_local_documents([self.path])
        if isinstance(loaded, Err):
            print_problems(loaded.err_value)
            return ExitCode.INVALID_DOCUMENT
        rows: list[dict[str, Any]] = []
        for document in loaded.ok_value:
            answer = await client.get_document(document.service)
            if isinstance(answer, Err):
                return report_error(
                    answer.err_value.detail, ExitCode.UNREACHABLE
                )
            rows.append(_to_row(document, answer.ok_value))
        if self.json:
            print(json.dumps({"documents": rows}))
        else:
            print("".join(row["diff"] for row in rows), end="")
        differs = any(row["different"] for row in rows)
        return ExitCode.DIFFERENT if differs else ExitCode.OK


def _to_row(
    document: LocalDocument, current: RemoteDocument
) -> dict[str, Any]:
    lines = difflib.unified_diff(
        current.text.splitlines(),
        document.text.splitlines(),
        f"{document.service} version {current.version}",
        str(document.path),
        lineterm="",
    )
    return {
        "service": document.service,
        "path": str(document.path),
        "version": current.version,
        "different": current.version == 0 or current.text != document.text,
        "diff": "".join(f"{line}\n" for line in lines),
    }
