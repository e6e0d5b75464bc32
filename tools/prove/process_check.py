"""Checks that entry processes neither fail nor exit unexpectedly."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.prove.violation_log import ViolationLog

_EXIT_BROKEN_INVARIANT = 70
_TRACEBACK = "Traceback (most recent call last)"
_EXCERPT_CHARACTERS = 1500


class ProcessCheck:
    """Checks exit codes and standard error of entry processes."""

    def __init__(self, violations: ViolationLog) -> None:
        """Create a check.

        :param violations: records the result of each check
        """
        self._violations = violations

    def record_unexpected_exit(self, name: str, exit_code: int | None) -> None:
        """Record a violation for a process that no fault ended."""
        self._violations.record_check(
            False, f"{name} ended unexpectedly with exit code {exit_code}"
        )

    def check_finished_process(
        self, name: str, exit_code: int | None, errors: str
    ) -> None:
        """Check the exit code and standard error of an entry after the run.

        :param name: name of the entry
        :param exit_code: exit code of its last process
        :param errors: standard error of all its processes
        """
        self._violations.record_check(
            exit_code != _EXIT_BROKEN_INVARIANT,
            f"{name} ended with exit code {exit_code}",
        )
        start = errors.find(_TRACEBACK)
        excerpt = errors[start : start + _EXCERPT_CHARACTERS]
        self._violations.record_check(
            start < 0, f"{name} wrote a traceback:\n{excerpt}"
        )
