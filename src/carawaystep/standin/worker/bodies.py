"""Models of the bodies, parameters and headers that workers accept."""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import Literal
from typing import TYPE_CHECKING

from pydantic import BaseModel
from pydantic import Field
from pydantic import field_validator

from carawaystep.standin.http.body_config import BODY_CONFIG
from carawaystep.standin.worker.checkpoint_key import CHECKPOINT_PATTERN
from carawaystep.worker.resources import Resources
from carawaystep.worker.worker_request import WorkerRequest
from carawaystep.worker.worker_task import WorkerTask

if TYPE_CHECKING:
    from collections.abc import Mapping

_MAX_WAIT_S = 60.0

Name = Annotated[str, Field(min_length=1, max_length=128)]
JobId = Annotated[str, Field(pattern=r"^[^/]{1,128}$")]
Epoch = Annotated[int, Field(ge=0)]
Attempt = Annotated[int, Field(ge=1)]
ClockSeconds = Annotated[float, Field(ge=0)]


class FenceBody(BaseModel):
    """A fence."""

    model_config = BODY_CONFIG

    owner: Name
    epoch: Epoch


class NeedsBody(BaseModel):
    """Resources of an execution; what is left out is zero."""

    model_config = BODY_CONFIG

    cpu: float = Field(default=0.0, ge=0)
    memory_mb: int = Field(default=0, ge=0)
    accelerators: int = Field(default=0, ge=0)

    def resources(self) -> Resources:
        """Return the resources inside."""
        return Resources(self.cpu, self.memory_mb, self.accelerators)


class RequestHeaders(BaseModel):
    """Headers of a request."""

    model_config = BODY_CONFIG

    epoch: Epoch
    request_id: Name
    service: Name
    needs: NeedsBody
    key: Name | None

    @field_validator("needs", mode="before")
    @classmethod
    def _split_needs(cls, text: Any) -> Any:
        """Split ``cpu=0.5;memory_mb=256;accelerators=0``."""
        if not isinstance(text, str):
            return text
        parts = (part.partition("=") for part in text.split(";"))
        return {name.strip(): value.strip() for name, _, value in parts}

    @classmethod
    def from_headers(cls, headers: Mapping[str, str]) -> RequestHeaders:
        """Read the headers of a call."""
        return cls.model_validate(
            {
                "epoch": headers.get("carawaystep-epoch"),
                "request_id": headers.get("carawaystep-request-id"),
                "service": headers.get("carawaystep-service"),
                "needs": headers.get("carawaystep-needs"),
                "key": headers.get("idempotency-key"),
            }
        )

    def request(self, body: bytes) -> WorkerRequest:
        """Return the request inside."""
        return WorkerRequest(
            self.request_id,
            self.service,
            self.key,
            self.needs.resources(),
            body,
        )


class TaskBody(BaseModel):
    """An attempt of a job."""

    model_config = BODY_CONFIG

    id: JobId
    attempt: Attempt
    epoch: Epoch
    service: Name
    lease_until_s: ClockSeconds
    run_s: Annotated[float, Field(gt=0)] | None = None
    needs: NeedsBody
    checkpoint: Annotated[str, Field(pattern=CHECKPOINT_PATTERN)] | None = None

    def task(self) -> WorkerTask:
        """Return the task inside."""
        return WorkerTask(
            self.id,
            self.attempt,
            self.service,
            self.needs.resources(),
            self.run_s,
            self.lease_until_s,
            self.checkpoint,
        )


class AttemptBody(BaseModel):
    """One attempt of a job."""

    model_config = BODY_CONFIG

    id: JobId
    attempt: Attempt


class LeasesBody(BaseModel):
    """A renewal of leases."""

    model_config = BODY_CONFIG

    epoch: Epoch
    until_s: ClockSeconds
    tasks: list[AttemptBody]


class TaskCallBody(BaseModel):
    """A call to a task that runs."""

    model_config = BODY_CONFIG

    epoch: Epoch
    attempt: Attempt


class TaskCallPath(BaseModel):
    """Path of a call to a task."""

    model_config = BODY_CONFIG

    id: JobId
    call: Literal["checkpoint", "throttle", "stop"]


class ReportQuery(BaseModel):
    """Parameters of a long poll."""

    model_config = BODY_CONFIG

    since: int = Field(ge=0)
    wait_s: float = Field(ge=0, le=_MAX_WAIT_S)
    acknowledged: int = Field(default=0, ge=0)
    epoch: int | None = Field(default=None, ge=0)
