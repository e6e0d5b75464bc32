"""Exit codes of the command line interface."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of all commands; the entry daemon has further ones.

    ``USAGE`` covers invalid arguments and local files that cannot be used.
    65 and 78 are ``EX_DATAERR`` and ``EX_CONFIG`` of ``sysexits.h``.
    """

    OK = 0
    DIFFERENT = 1
    USAGE = 2
    CONFLICT = 3
    NOT_IN_FORCE = 4
    UNREACHABLE = 5
    INVALID_DOCUMENT = 65
    INVALID_SETTINGS = 78


_MEANINGS = {
    ExitCode.OK: "ok",
    ExitCode.DIFFERENT: "difference found (explain: no decision found)",
    ExitCode.USAGE: "usage",
    ExitCode.CONFLICT: "conflict",
    ExitCode.NOT_IN_FORCE: "not in force in time",
    ExitCode.UNREACHABLE: "entry unreachable, call refused or document absent",
    ExitCode.INVALID_DOCUMENT: "invalid document",
    ExitCode.INVALID_SETTINGS: "invalid settings",
}


def exit_codes_help(*codes: ExitCode) -> str:
    """Return a sentence for the help of a command.

    :param codes: codes that the command may return
    """
    descriptions = ", ".join(
        f"{code.value} {_MEANINGS[code]}" for code in codes
    )
    return f"Exit codes: {descriptions}."
