"""Bodies of a worker's HTTP responses.

The models are in one module because together they define the protocol.
Unknown keys are ignored, so that workers can add new ones.
"""

from __future__ import annotations

from pydantic import BaseModel
from pydantic import Field

from carawaystep.worker.execution_end import ExecutionEnd
from carawaystep.worker.work_kind import WorkKind


class CapacityBody(BaseModel):
    """Limits of the worker; see :class:`Capacity`."""

    cpu: float = Field(ge=0, allow_inf_nan=False)
    memory_mb: int = Field(ge=0)
    accelerators: int = Field(ge=0)
    slots: int = Field(ge=0)
    connections: int = Field(ge=1)


class RunningBody(BaseModel):
    """An execution in progress and the resources that it uses."""

    id: str
    kind: WorkKind
    attempt: int = Field(ge=0)
    cpu: float = Field(ge=0, allow_inf_nan=False)
    memory_mb: int = Field(ge=0)
    accelerators: int = Field(ge=0)


class FenceResponseBody(BaseModel):
    """Response to an accepted fence call; see :class:`FenceAnswer`."""

    epoch: int
    guards: bool
    leaving: bool
    capacity: CapacityBody
    running: tuple[RunningBody, ...]
    sequence: int
    clock_s: float = Field(ge=0, allow_inf_nan=False)


class LeasesResponseBody(BaseModel):
    """Response to a lease renewal.

    :param unknown: ids of the jobs whose attempt the worker does not run
    """

    unknown: frozenset[str]


class EndedBody(BaseModel):
    """A task that has ended; see :class:`EndedTask`."""

    sequence: int
    id: str
    attempt: int
    how: ExecutionEnd
    checkpoint: str | None
    detail: str


class ReportBody(BaseModel):
    """Response to a report poll; see :class:`WorkerReport`."""

    sequence: int
    leaving: bool
    running: frozenset[str]
    ended: tuple[EndedBody, ...]
    clock_s: float = Field(allow_inf_nan=False)
