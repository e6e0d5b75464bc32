"""Table of rates of three deployments."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.capacity.limits import describe_limit_result
from tools.capacity.markdown import format_table
from tools.capacity.markdown import to_cell

if TYPE_CHECKING:
    from collections.abc import Sequence

_HEADER = [
    "figure",
    "today",
    "target",
    "target, 70 workers",
    "measured slope",
    "budget",
    "holds",
    "mechanism",
]


def rate_row(
    title: str,
    rates: Sequence[float],
    slope: str = "",
    mechanism: str = "",
    budget: float | None = None,
) -> list[str]:
    """Return a row of the table of rates.

    :param title: name of the figure
    :param rates: figure of each of the three deployments
    :param slope: what one unit of a size adds
    :param mechanism: what causes the rate
    :param budget: limit of the figures at target size, None without one
    """
    return [
        title,
        *map(to_cell, rates),
        slope,
        "" if budget is None else to_cell(budget),
        "" if budget is None else describe_limit_result(rates[1:], budget),
        mechanism,
    ]


def rate_table(rows: Sequence[Sequence[str]]) -> str:
    """Format rows that ``rate_row`` returns."""
    return format_table(_HEADER, rows)
