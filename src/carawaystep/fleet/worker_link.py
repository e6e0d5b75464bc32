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
    """Connection to one lifetime of a worker; calls are not retried.

    :class:`LinkFailure` and :class:`OrderOutcome` tell what is known after a
    failed call.
    """

    @abstractmethod
    def lease_deadline_ms(self) -> int | None:
        """Return when a lease granted now ends, on the worker's clock.

        None before the first report, when that clock is not known.
        """

    @abstractmethod
    async def fetch_report(
        self, token: int, acknowledged: int, extend_lease: bool, wait_s: float
    ) -> Result[WorkerReport, LinkFailure]:
        """Return the worker's report and optionally extend its lease.

        :param token: fencing token; from now on the worker refuses lower ones
        :param acknowledged: number of the last run end that is stored
        :param extend_lease: whether to extend the lease of all its runs
        :param wait_s: seconds for which the worker may delay its answer until
            a run ends (long poll)
        """

    @abstractmethod
    async def execute_order(self, order: Order, token: int) -> OrderOutcome:
        """Send an order once and return its outcome.

        :param order: start, stop or pace order
        :param token: fencing token of the sender
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
