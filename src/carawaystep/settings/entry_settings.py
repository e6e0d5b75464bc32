"""Settings of an entry process.

Error messages quote the docstrings of the models and the descriptions of
their fields, so each is a short phrase for an operator.
"""

from __future__ import annotations

from pathlib import Path

from pydantic import Field

from carawaystep.settings.settings_model import SettingsModel

NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
# Appended to the description of each field that must match NAME_PATTERN.
NAME_RULE_SUFFIX = ", a-z, 0-9 and hyphens, 1 to 63 characters"


class ListenSettings(SettingsModel):
    """Address on which the process serves HTTP."""

    host: str = Field(description="IP address to listen on")
    port: int = Field(ge=1, le=65535, description="TCP port to listen on")


class PlatformSettings(SettingsModel):
    """URL of the platform, timeout of calls to it and polling intervals."""

    url: str = Field(pattern=r"^https?://", description="base URL")
    timeout_s: float = Field(
        default=2.0, gt=0, le=30, description="timeout of one call, seconds"
    )
    poll_s: float = Field(
        default=1.0,
        ge=0.1,
        le=5,
        description="interval of polling for changes, seconds",
    )
    far_poll_s: float = Field(
        default=5.0,
        ge=1,
        le=120,
        description="polling interval for entries of all zones, seconds",
    )
    heartbeat_s: float = Field(
        default=2.0,
        ge=0.2,
        le=2.0,
        description="interval at which the entry updates its row, seconds",
    )


class AccessSettings(SettingsModel):
    """Tokens of callers and operators."""

    tokens_file: Path = Field(
        description="YAML file that lists tokens with team and roles"
    )


class RequestSettings(SettingsModel):
    """Limits of requests."""

    queue_limit: int = Field(
        default=500,
        ge=1,
        le=100_000,
        description="maximum number of queued requests over all services",
    )
    max_deadline_s: float = Field(
        default=60.0, gt=0, le=3600, description="maximum deadline, seconds"
    )
    body_timeout_s: float = Field(
        default=10.0,
        gt=0,
        le=60,
        description="timeout for reading a body, seconds",
    )
    retry_ratio: float = Field(
        default=0.1,
        ge=0,
        le=1,
        description="allowed retries per recent request",
    )


class TaskSettings(SettingsModel):
    """Leases of tasks, and slots of a worker that tasks leave to requests."""

    lease_s: float = Field(
        default=30.0,
        gt=1,
        le=600,
        description="duration of a task lease, seconds",
    )
    renew_s: float = Field(
        default=10.0,
        gt=0,
        le=200,
        description="interval of lease renewals, seconds",
    )
    margin_s: float = Field(
        default=5.0,
        gt=0,
        le=60,
        description="allowance for clock drift: holders end leases earlier "
        "and granters wait longer, seconds",
    )
    request_slots: int = Field(
        default=2,
        ge=0,
        le=64,
        description="slots of a worker reserved for requests",
    )


class WorkerSettings(SettingsModel):
    """Timeouts of calls to workers."""

    report_wait_s: float = Field(
        default=5.0,
        ge=0.5,
        le=60,
        description="duration of a long poll for a worker's report, seconds",
    )
    timeout_s: float = Field(
        default=3.0, gt=0, le=30, description="timeout of one call, seconds"
    )


class EntrySettings(SettingsModel):
    """Settings of one entry process."""

    name: str = Field(
        pattern=NAME_PATTERN, description="unique name" + NAME_RULE_SUFFIX
    )
    availability_zone: str = Field(
        pattern=NAME_PATTERN,
        description="availability zone of the entry" + NAME_RULE_SUFFIX,
    )
    http: ListenSettings
    advertised_url: str = Field(
        pattern=r"^https?://",
        description="base URL at which callers reach the entry",
    )
    peer_address: str = Field(
        pattern=r"^tcp://",
        description="ZeroMQ address to bind; also advertised to peers unless "
        "peer_advertised_address is set",
    )
    peer_advertised_address: str | None = Field(
        default=None,
        pattern=r"^tcp://",
        description="ZeroMQ address at which peers reach the entry, if it "
        "differs from peer_address",
    )
    seed_peers: list[str] = Field(
        default=[],
        description="ZeroMQ addresses of peers in the entry's availability "
        "zone that provide the documents if the platform is unreachable at "
        "startup",
    )
    platform: PlatformSettings
    access: AccessSettings
    requests: RequestSettings = RequestSettings()
    tasks: TaskSettings = TaskSettings()
    workers: WorkerSettings = WorkerSettings()
    drain_limit_s: float = Field(
        default=30.0,
        gt=0,
        le=3600,
        description="time limit of a drain, seconds",
    )
    timeline_events: int = Field(
        default=4096,
        ge=16,
        le=1_000_000,
        description="number of timeline events kept",
    )
