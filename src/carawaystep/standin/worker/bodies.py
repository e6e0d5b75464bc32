"""Models of the bodies, parameters and headers of the worker's API."""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import Literal
from typing import TYPE_CHECKING

from pydantic import BaseModel
from pydantic import Field
from pydantic import field_validator

from carawaystep.standin.http.body_config import BODY_CONFIG
from carawaystep.standin.worker.checkpoint_key import CHECKPOINT_KEY_PATTERN
from carawaystep.worker.resources import Resources
from carawaystep.worker.worker_request import WorkerRequest
from carawaystep.worker.worker_task import WorkerTask

if TYPE_CHECKING:
    from collections.abc import Mapping

_MAX_POLL_WAIT_S = 60.0

Name = Annotated[str, Field(min_length=1, max_length=128)]
JobId = Annotated[str, Field(pattern=r"^[^/]{1,128}$")]
Epoch = Annotated[int, Field(ge=0)]
Attempt = Annotated[int, Field(ge=1)]
ClockSeconds = Annotated[float, Field(ge=0)]


class FenceBody(BaseModel):
    """Fence call of a new owner."""

    model_config = BODY_CONFIG

    owner: Name
    epoch: Epoch


class NeedsBody(BaseModel):
    """Resources of an execution; a missing field means zero."""

    model_config = BODY_CONFIG

    cpu: float = Field(default=0.0, ge=0)
    memory_mb: int = Field(default=0, ge=0)
    accelerators: int = Field(default=0, ge=0)

    def to_resources(self) -> Resources:
        """Convert to the internal representation."""
        return Resources(self.cpu, self.memory_mb, self.accelerators)


class RequestHeaders(BaseModel):
    """Headers of a request to execute."""

    model_config = BODY_CONFIG

    epoch: Epoch
    request_id: Name
    service: Name
    needs: NeedsBody
    key: Name | None

    @field_validator("needs", mode="before")
    @classmethod
    def _split_needs(cls, text: Any) -> Any:
        """Split text such as ``cpu=0.5;memory_mb=256;accelerators=0``."""
        if not isinstance(text, str):
            return text
        parts = (part.partition("=") for part in text.split(";"))
        return {name.strip(): value.strip() for name, _, value in parts}

    @classmethod
    def from_headers(cls, headers: Mapping[str, str]) -> RequestHeaders:
        """Validate the headers of a call.

        :raises ValidationError: if a header is missing or malformed
        """
        return cls.model_validate(
            {
                "epoch": headers.get("carawaystep-epoch"),
                "request_id": headers.get("carawaystep-request-id"),
                "service": headers.get("carawaystep-service"),
                "needs": headers.get("carawaystep-needs"),
                "key": headers.get("idempotency-key"),
            }
        )

    def to_request(self, body: bytes) -> WorkerRequest:
        """Convert to a request with this body."""
        return WorkerRequest(
            self.request_id,
            self.service,
            self.key,
            self.needs.to_resources(),
            body,
        )


class TaskBody(BaseModel):
    """Start of an attempt of a job."""

    model_config = BODY_CONFIG

    id: JobId
    attempt: Attempt
    epoch: Epoch
    service: Name
    lease_until_s: ClockSeconds
    run_s: Annotated[float, Field(gt=0)] | None = None
    needs: NeedsBody
    checkpoint: (
        Annotated[str, Field(pattern=CHECKPOINT_KEY_PATTERN)] | None
    ) = None

    def to_task(self) -> WorkerTask:
        """Convert to the internal representation."""
        return WorkerTask(
            self.id,
            self.attempt,
            self.service,
            self.needs.to_resources(),
            self.run_s,
            self.lease_until_s,
            self.checkpoint,
        )


class AttemptBody(BaseModel):
    """Identity of an attempt of a job."""

    model_config = BODY_CONFIG

    id: JobId
    attempt: Attempt


class LeasesBody(BaseModel):
    """Renewal of the leases of several attempts."""

    model_config = BODY_CONFIG

    epoch: Epoch
    until_s: ClockSeconds
    tasks: list[AttemptBody]


class TaskControlBody(BaseModel):
    """Control call for a started task."""

    model_config = BODY_CONFIG

    epoch: Epoch
    attempt: Attempt


class TaskControlPath(BaseModel):
    """Path parameters of a control call for a task."""

    model_config = BODY_CONFIG

    id: JobId
    call: Literal["checkpoint", "throttle", "stop"]


class ReportQuery(BaseModel):
    """Query parameters of a long poll."""

    model_config = BODY_CONFIG

    since: int = Field(ge=0)
    wait_s: float = Field(ge=0, le=_MAX_POLL_WAIT_S)
    acknowledged: int = Field(default=0, ge=0)
    epoch: int | None = Field(default=None, ge=0)
