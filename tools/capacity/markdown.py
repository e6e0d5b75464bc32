"""Formats numbers and tables in Markdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def to_cell(value: float) -> str:
    """Format a number with three significant digits.

    Numbers from 100 on have no decimals and a thousands separator.
    """
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}"


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Format a table; short rows are filled up with empty cells.

    :param header: cells of the header
    :param rows: cells of each row
    """
    lines = [list(header), ["---"] * len(header)]
    lines += [[*row, *[""] * (len(header) - len(row))] for row in rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)
