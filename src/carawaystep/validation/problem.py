"""A mistake in a YAML file."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """One mistake, with its place.

    :param source: file name as the operator gave it
    :param line: line, from 1
    :param column: column, from 1
    :param detail: what is wrong and what is allowed
    """

    source: str
    line: int
    column: int
    detail: str

    def __str__(self) -> str:
        """Return ``source:line:column: detail``."""
        return f"{self.source}:{self.line}:{self.column}: {self.detail}"
