"""Validation model of the YAML text of a service document."""

from __future__ import annotations

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import field_validator
from pydantic import ValidationInfo

from carawaystep.document.service_kind import ServiceKind

_NAME_PATTERN = r"^[a-z0-9-]{1,63}$"

_DAY_S = 86_400

_KIND_OF_SECTION = {
    "requests": ServiceKind.LATENCY_CRITICAL,
    "batch": ServiceKind.BATCH,
    "standing": ServiceKind.STANDING,
}


class DocumentModel(BaseModel):
    """Immutable model that rejects unknown keys and type conversions."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class NeedsSection(DocumentModel):
    """Resources of one execution."""

    cpu: float = Field(gt=0, le=1024, description="cores")
    memory_mb: int = Field(ge=1, le=16_000_000, description="memory")
    accelerators: int = Field(
        default=0, ge=0, le=64, description="whole accelerators"
    )


class RequestsSection(DocumentModel):
    """Limits of the requests of a latency-critical service.

    A request is run a second time only if the service is declared
    idempotent.
    """

    deadline_s: float = Field(
        default=2.0,
        gt=0,
        le=3600,
        description="deadline of requests without one",
    )
    idempotent: bool = Field(
        default=False, description="whether a request may run twice"
    )
    max_body_bytes: int = Field(
        default=65_536,
        ge=0,
        le=16 * 1024 * 1024,
        description="largest request body",
    )
    queue_limit: int = Field(
        default=200,
        ge=0,
        le=100_000,
        description="requests that may wait in one entry",
    )


class BatchSection(DocumentModel):
    """Run time, due time and retries of the jobs of a batch service."""

    run_s: float = Field(
        default=60.0, gt=0, le=31 * _DAY_S, description="expected run time"
    )
    due_s: float = Field(
        default=float(_DAY_S),
        gt=0,
        le=366 * _DAY_S,
        description="time from submission until a job is due",
    )
    max_attempts: int = Field(
        default=5,
        ge=1,
        le=100,
        description="failed attempts before a job is parked",
    )
    evictable: bool = Field(
        default=True, description="whether tasks may be evicted"
    )


class StandingSection(DocumentModel):
    """Size of a standing service."""

    replicas: int = Field(
        default=1,
        ge=0,
        le=10_000,
        description="number of tasks that always run",
    )


class ServiceDocument(DocumentModel):
    """A service document, as written by an operator."""

    service: str = Field(
        pattern=_NAME_PATTERN,
        description="name of lower-case letters, digits and hyphens, 1 to 63 "
        "characters",
    )
    team: str = Field(
        pattern=_NAME_PATTERN,
        description="team of lower-case letters, digits and hyphens, 1 to 63 "
        "characters",
    )
    kind: ServiceKind = Field(description="kind of the service's work")
    urgency: int = Field(
        ge=0, le=100, description="higher values are served first"
    )
    needs: NeedsSection
    requests: RequestsSection = RequestsSection()
    batch: BatchSection = BatchSection()
    standing: StandingSection = StandingSection()

    @field_validator("requests", "batch", "standing", mode="before")
    @classmethod
    def _check_kind(cls, value: object, info: ValidationInfo) -> object:
        # Called only for sections that are present. ``kind`` is validated
        # before and is missing here only if it was invalid.
        kind = info.data.get("kind")
        section_kind = _KIND_OF_SECTION[info.field_name or ""]
        if kind is not None and kind is not section_kind:
            msg = (
                f'is a section for services of kind "{section_kind}", not '
                f'"{kind}"; remove it or change the kind'
            )
            raise ValueError(msg)
        return value
