"""A problem found in a YAML file."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem and its position in the file.

    :param source: file name as the operator specified it
    :param line: line number, starting at 1
    :param column: column number, starting at 1
    :param detail: what is wrong and what is expected
    """

    source: str
    line: int
    column: int
    detail: str

    def __str__(self) -> str:
        """Return ``source:line:column: detail``."""
        return f"{self.source}:{self.line}:{self.column}: {self.detail}"
