"""Applies the service documents of an example."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from tools.process_spec import ProcessSpec

if TYPE_CHECKING:
    from pathlib import Path

    from tools.launcher import Launcher

_APPLY_WAIT_S = 16
_APPLY_TIMEOUT_S = 60.0


async def apply_documents(launcher: Launcher, documents: Path) -> str | None:
    """Apply all documents of a directory.

    :param launcher: the running deployment
    :param documents: copies of the documents in the run directory
    :returns: None on success, otherwise an error message
    """
    command = (
        *(sys.executable, "-m", "carawaystep", "document", "apply"),
        str(documents),
        *("--url", launcher.entries[0].spec.url or ""),
        *("--token-file", str(launcher.token_file("operators"))),
        *("--wait", str(_APPLY_WAIT_S)),
    )
    process = launcher.group.start(
        ProcessSpec("command", "document-apply", command)
    )
    code = await process.wait(_APPLY_TIMEOUT_S)
    if code == 0:
        return None
    if code is None:
        return f"document apply did not end within {_APPLY_TIMEOUT_S:.0f} s"
    return (
        f"document apply ended with exit code {code}; last lines of its"
        " standard error:\n"
        f"{process.stderr_tail()}"
    )
