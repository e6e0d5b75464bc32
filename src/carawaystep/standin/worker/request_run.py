"""A request that runs on a stand-in worker."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.standin.worker.execution import Execution


@dataclass(frozen=True, slots=True)
class RequestRun:
    """A running request.

    :param execution: its ledger record
    :param ends_at: end time, seconds of the worker's monotonic clock
    :param fails: True if it will fail
    """

    execution: Execution
    ends_at: float
    fails: bool
