"""Settings of a process that runs stand-in workers."""

from __future__ import annotations

from pydantic import Field

from carawaystep.settings.entry_settings import ListenSettings
from carawaystep.settings.entry_settings import NAME_PATTERN
from carawaystep.settings.entry_settings import NAME_RULE_SUFFIX
from carawaystep.settings.settings_model import SettingsModel


class StandinServiceSettings(SettingsModel):
    """Simulated executions of one service."""

    median_ms: float = Field(
        default=20.0,
        gt=0,
        description="median run time of a request, milliseconds",
    )
    sigma: float = Field(
        default=0.5, ge=0, description="sigma of the log-normal run time"
    )
    fail_share: float = Field(
        default=0.0, ge=0, le=1, description="share of executions that fail"
    )
    task_scale: float = Field(
        default=1.0,
        gt=0,
        description="ratio of actual to declared run time of a task",
    )


class StandinWorkerSettings(SettingsModel):
    """Settings of one stand-in worker."""

    name: str = Field(
        pattern=NAME_PATTERN,
        description="name of the worker" + NAME_RULE_SUFFIX,
    )
    http: ListenSettings
    cpu: float = Field(default=32.0, gt=0, description="cores")
    memory_mb: int = Field(default=125_000, gt=0, description="megabytes")
    accelerators: int = Field(default=0, ge=0)
    slots: int = Field(default=8, ge=1)
    connections: int = Field(default=64, ge=1)
    guards: bool = Field(
        default=True,
        description="reject stale epochs and work beyond the capacity",
    )
    usage_lag_s: float = Field(
        default=5.0, ge=0, description="delay of usage rows, seconds"
    )


class StandinWorkerProcessSettings(SettingsModel):
    """Settings of all stand-in workers of one process."""

    seed: int = 1
    services: dict[str, StandinServiceSettings] = {}
    workers: list[StandinWorkerSettings] = Field(min_length=1)
