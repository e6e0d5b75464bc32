"""Settings of the decisions that are taken when there is too little room."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class WaitingOrderName(StrEnum):
    """Names of the orders in which waiting workflows are placed."""

    URGENCY = "urgency"
    LEAST_COST = "least-cost"


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """What a deployment asks for under overload; the default is nothing new.

    :param waiting_order: order in which waiting workflows are placed
    :param admission: whether a submission that cannot be finished while it
        is of use is refused
    :param short_work_reserve: whether new long-running tasks leave room for
        the short work that is expected
    """

    waiting_order: WaitingOrderName = WaitingOrderName.URGENCY
    admission: bool = False
    short_work_reserve: bool = False
