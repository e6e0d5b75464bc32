"""Why a deployment did not start."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LaunchFailure:
    """A process that did not become ready.

    :param process: name of the process
    :param detail: what happened, a predicate to the name of the process
    :param stderr_tail: last lines of its standard error
    """

    process: str
    detail: str
    stderr_tail: str

    def __str__(self) -> str:
        """Return the error message for the operator."""
        lines = self.stderr_tail or "(empty)"
        return (
            f"process {self.process} {self.detail}; standard error:\n{lines}"
        )
