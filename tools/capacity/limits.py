"""Limits that measured figures are compared with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.capacity.markdown import to_cell

if TYPE_CHECKING:
    from collections.abc import Sequence

# Limits of the control overhead of one node.
BUDGETS = {"cpu_percent": 3.6, "resident_mb": 128.0, "bytes_per_s": 3000.0}
READ_LIMIT_PER_S = 2000.0
WRITE_LIMIT_PER_S = 400.0


def describe_limit_result(figures: Sequence[float], limit: float) -> str:
    """Describe whether all figures are within a limit.

    :param figures: measured figures
    :param limit: greatest allowed figure
    :returns: ``yes``, or ``no`` with the factor by which it is exceeded
    """
    highest = max(figures)
    if highest <= limit:
        return "yes"
    return f"no, up to {to_cell(highest / limit)} times the limit"
