"""Puts the documents of an example in force."""

from __future__ import annotations

from shutil import copyfile
import sys
from typing import TYPE_CHECKING

from tools.process_spec import ProcessSpec

if TYPE_CHECKING:
    from pathlib import Path

    from tools.launcher import Launcher

_APPLY_WAIT_S = 16
_APPLY_LIMIT_S = 60.0


async def apply_documents(
    launcher: Launcher, documents: Path, directory: Path
) -> str | None:
    """Apply the documents of an example.

    The command notes the stored versions next to the documents. They belong
    to one deployment, so each run applies a copy.

    :param launcher: the running deployment
    :param documents: directory of the documents
    :param directory: run directory, which gets the copy
    :returns: what went wrong, None when all documents are in force
    """
    copies = directory / "documents"
    copies.mkdir(exist_ok=True)
    for path in documents.glob("*.yaml"):
        copyfile(path, copies / path.name)
    command = (
        *(sys.executable, "-m", "carawaystep", "document", "apply"),
        str(copies),
        *("--url", launcher.entries[0].spec.url or ""),
        *("--token-file", str(launcher.token_file("operators"))),
        *("--wait", str(_APPLY_WAIT_S)),
    )
    process = launcher.group.start(
        ProcessSpec("command", "document-apply", command)
    )
    code = await process.wait(_APPLY_LIMIT_S)
    if code == 0:
        return None
    if code is None:
        return f"document apply still runs after {_APPLY_LIMIT_S:.0f} s"
    return (
        f"document apply ended with exit code {code}; it wrote:\n"
        f"{process.last_error_lines()}"
    )
