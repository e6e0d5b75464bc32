"""Port to one lifetime of a worker."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result

    from carawaystep.fleet.link_failure import LinkFailure
    from carawaystep.fleet.order import Order
    from carawaystep.fleet.order_outcome import OrderOutcome
    from carawaystep.fleet.worker_report import WorkerReport


class WorkerLink(ABC):
    """Calls to a worker; none is repeated by the link.

    :class:`LinkFailure` and :class:`OrderOutcome` say what is known after a
    failed call.
    """

    @abstractmethod
    async def fetch_report(
        self, token: int, acknowledged: int, extend_lease: bool, wait_s: float
    ) -> Result[WorkerReport, LinkFailure]:
        """Read the worker's lists and, on the way, extend its lease.

        :param token: fencing token; the worker refuses lower ones from now
        :param acknowledged: number of the last end that is stored
        :param extend_lease: whether the lease of everything on it is extended
        :param wait_s: how long the worker may wait for an end
        """

    @abstractmethod
    async def execute_order(self, order: Order, token: int) -> OrderOutcome:
        """Have an order carried out once.

        :param order: start, stop or pace
        :param token: fencing token of the sender
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
