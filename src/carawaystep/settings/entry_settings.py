"""Settings of an entry process."""

from __future__ import annotations

from pathlib import Path

from pydantic import Field

from carawaystep.settings.settings_model import SettingsModel

NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
NAME_RULE = ", lower-case letters, digits and hyphens, 1 to 63 characters"


class ListenSettings(SettingsModel):
    """Where callers and operators reach the process."""

    host: str = Field(description="IP address to listen on")
    port: int = Field(ge=1, le=65535, description="TCP port to listen on")


class PlatformSettings(SettingsModel):
    """How the process reaches the platform."""

    url: str = Field(pattern=r"^https?://", description="base URL")
    timeout_s: float = Field(
        default=2.0, gt=0, le=30, description="limit of one call, seconds"
    )
    poll_s: float = Field(
        default=1.0,
        ge=0.1,
        le=5,
        description="interval of reading changes, seconds",
    )
    far_poll_s: float = Field(
        default=5.0,
        ge=1,
        le=120,
        description="interval of reading entries of all zones, seconds",
    )
    heartbeat_s: float = Field(
        default=2.0,
        ge=0.2,
        le=2.0,
        description="interval of writing the own row, seconds",
    )


class AccessSettings(SettingsModel):
    """Who may call."""

    tokens_file: Path = Field(
        description="YAML list of tokens with team and roles"
    )


class RequestSettings(SettingsModel):
    """Limits of callers' requests."""

    queue_limit: int = Field(
        default=500, ge=1, le=100_000, description="waiting requests, all"
    )
    max_deadline_s: float = Field(
        default=60.0, gt=0, le=3600, description="longest deadline, seconds"
    )
    body_timeout_s: float = Field(
        default=10.0, gt=0, le=60, description="limit for a body, seconds"
    )
    retry_ratio: float = Field(
        default=0.1, ge=0, le=1, description="retries per recent request"
    )


class TaskSettings(SettingsModel):
    """Limits of tasks on workers."""

    lease_s: float = Field(
        default=30.0, gt=1, le=600, description="lease of a task, seconds"
    )
    renew_s: float = Field(
        default=10.0, gt=0, le=200, description="renewal interval, seconds"
    )
    margin_s: float = Field(
        default=5.0,
        gt=0,
        le=60,
        description="kept free for drift between clocks, seconds",
    )
    request_slots: int = Field(
        default=2,
        ge=0,
        le=64,
        description="slots of a worker that tasks leave to requests",
    )


class WorkerSettings(SettingsModel):
    """How the process talks to workers."""

    report_wait_s: float = Field(
        default=5.0, ge=0.5, le=60, description="long poll, seconds"
    )
    timeout_s: float = Field(
        default=3.0, gt=0, le=30, description="limit of one call, seconds"
    )


class EntrySettings(SettingsModel):
    """One entry process."""

    name: str = Field(
        pattern=NAME_PATTERN, description="unique name" + NAME_RULE
    )
    availability_zone: str = Field(
        pattern=NAME_PATTERN, description="its availability zone" + NAME_RULE
    )
    http: ListenSettings
    advertised_url: str = Field(
        pattern=r"^https?://",
        description="base URL under which callers reach it",
    )
    peer_address: str = Field(
        pattern=r"^tcp://",
        description="zmq address to bind and, unless another one is "
        "advertised, to advertise",
    )
    peer_advertised_address: str | None = Field(
        default=None,
        pattern=r"^tcp://",
        description="zmq address under which peers reach it, when it is not "
        "the one that it binds",
    )
    seed_peers: list[str] = Field(
        default=[],
        description="zmq addresses of peers in the same availability zone, "
        "asked for documents when the platform cannot be reached at start",
    )
    platform: PlatformSettings
    access: AccessSettings
    requests: RequestSettings = RequestSettings()
    tasks: TaskSettings = TaskSettings()
    workers: WorkerSettings = WorkerSettings()
    drain_limit_s: float = Field(
        default=30.0, gt=0, le=3600, description="limit of a drain, seconds"
    )
    timeline_events: int = Field(
        default=4096, ge=16, le=1_000_000, description="events kept"
    )
