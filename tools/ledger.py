"""Ledger of a stand-in worker, as ``/ledger`` returns it."""

from __future__ import annotations

from math import inf
from typing import Literal

from pydantic import BaseModel
from pydantic import ConfigDict


class Execution(BaseModel):
    """One execution of a request or of a task.

    Times are seconds of the monotonic clock, which all processes of one
    machine share, so that times of different workers can be compared.
    """

    model_config = ConfigDict(frozen=True)

    id: str
    kind: Literal["request", "task"]
    key: str | None = None
    service: str
    attempt: int | None = None
    start: float
    end: float | None = None
    how: str | None = None
    # Whether the end was acknowledged before the lease expired. Ledgers of
    # workers do not contain it, so that every end in them counts.
    noted: bool = True

    @property
    def end_or_never(self) -> float:
        """Return the time of its end, infinity while it runs."""
        return inf if self.end is None else self.end


class Ledger(BaseModel):
    """Executions of a worker, and the peak and the limit of each resource."""

    model_config = ConfigDict(frozen=True)

    worker: str
    executions: list[Execution]
    peaks: dict[str, tuple[float, float]]
