"""Entry processes neither fail nor end by themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.prove.violation_log import ViolationLog

_BROKEN_INVARIANT = 70
_TRACEBACK = "Traceback (most recent call last)"
_EXCERPT_CHARACTERS = 1500


class ProcessCheck:
    """Judges exit codes and the output of entry processes."""

    def __init__(self, log: ViolationLog) -> None:
        """Create a check.

        :param log: takes the results
        """
        self._log = log

    def ended(self, name: str, exit_code: int | None) -> None:
        """Take the end of a process that nobody had asked to end."""
        self._log.check(
            False, f"{name} ended by itself with exit code {exit_code}"
        )

    def finished(self, name: str, exit_code: int | None, errors: str) -> None:
        """Take the exit code and all output of an entry after the run."""
        self._log.check(
            exit_code != _BROKEN_INVARIANT,
            f"{name} ended with exit code {exit_code}",
        )
        start = errors.find(_TRACEBACK)
        excerpt = errors[start : start + _EXCERPT_CHARACTERS]
        self._log.check(start < 0, f"{name} wrote a traceback:\n{excerpt}")
