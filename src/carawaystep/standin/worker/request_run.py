"""A request that a stand-in worker accepted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.standin.worker.execution import Execution


@dataclass(frozen=True, slots=True)
class RequestRun:
    """A request that runs.

    :param execution: its record in the ledger
    :param due: when it ends, seconds of the worker's monotonic clock
    :param fails: True when it ends in a failure
    """

    execution: Execution
    due: float
    fails: bool
