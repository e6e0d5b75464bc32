"""Cells and tables in Markdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def to_cell(value: float) -> str:
    """Return a figure with three significant digits."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}"


def format_table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table; short rows are filled up with empty cells."""
    lines = [list(head), ["---"] * len(head)]
    lines += [[*row, *[""] * (len(head) - len(row))] for row in rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)
