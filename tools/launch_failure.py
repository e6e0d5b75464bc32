"""Why a deployment did not start."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LaunchFailure:
    """A process that did not become ready.

    :param process: name of the process
    :param detail: what was waited for
    :param error_lines: last lines of its standard error
    """

    process: str
    detail: str
    error_lines: str

    def __str__(self) -> str:
        """Return the message for an operator."""
        lines = self.error_lines or "(standard error is empty)"
        return f"process {self.process} {self.detail}; it wrote:\n{lines}"
