"""Faults of orders to workers that are in effect."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class OrderFaults:
    """Faults of orders.

    :param late_workers: workers that carry orders out seconds later and
        answer none
    :param lost_answer_rate: probability that the answer of an order is lost
    """

    late_workers: set[str] = field(default_factory=set)
    lost_answer_rate: float = 0.0
