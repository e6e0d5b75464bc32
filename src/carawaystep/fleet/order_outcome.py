"""Outcomes of orders to workers."""

from __future__ import annotations

from enum import StrEnum


class OrderOutcome(StrEnum):
    """Outcome of an order as far as the sender knows it.

    After ``REFUSED``, ``NO_PERMIT``, ``FULL``, ``SUPERSEDED``, ``FENCED``,
    ``EXPIRED``, ``UNHEALTHY``, ``OTHER_LIFETIME``, ``NOT_SENT`` and
    ``EVACUATED`` the order was certainly not executed. ``EXPIRED`` means that
    the worker refused it after its deadline, ``OTHER_LIFETIME`` that another
    lifetime of the worker answered, ``EVACUATED`` that the member did not
    send it because the worker's availability zone is evacuated. After
    ``UNKNOWN`` the order may still be executed, even seconds later.
    """

    DONE = "done"
    FULL = "full"
    SUPERSEDED = "superseded"
    FENCED = "fenced"
    EXPIRED = "expired"
    REFUSED = "refused"
    NO_PERMIT = "no-permit"
    UNHEALTHY = "unhealthy"
    OTHER_LIFETIME = "other-lifetime"
    NOT_SENT = "not-sent"
    EVACUATED = "evacuated"
    UNKNOWN = "unknown"

    @property
    def not_executed(self) -> bool:
        """Tell whether the order was certainly not executed."""
        return self not in (OrderOutcome.DONE, OrderOutcome.UNKNOWN)
