"""Settings of the stand-in platform."""

from __future__ import annotations

from pydantic import Field

from carawaystep.settings.entry_settings import ListenSettings
from carawaystep.settings.entry_settings import NAME_PATTERN
from carawaystep.settings.entry_settings import NAME_RULE_SUFFIX
from carawaystep.settings.settings_model import SettingsModel


class StandinVmSettings(SettingsModel):
    """A VM in the list of the stand-in platform."""

    name: str = Field(
        pattern=NAME_PATTERN, description="name of the VM" + NAME_RULE_SUFFIX
    )
    availability_zone: str = Field(
        pattern=NAME_PATTERN,
        description="availability zone of the VM" + NAME_RULE_SUFFIX,
    )
    rack: str = Field(
        pattern=NAME_PATTERN, description="rack of the VM" + NAME_RULE_SUFFIX
    )
    url: str = Field(
        pattern=r"^https?://", description="URL of the worker on the VM"
    )


class StandinPlatformSettings(SettingsModel):
    """Settings of the stand-in platform."""

    http: ListenSettings
    writes_per_s: float = Field(
        default=400.0, gt=0, description="limit of write operations per second"
    )
    reads_per_s: float = Field(
        default=2000.0, gt=0, description="limit of read calls per second"
    )
    vm_lag_s: float = Field(
        default=1.0,
        ge=0,
        description="delay of changes to the VM list, seconds",
    )
    vms: list[StandinVmSettings]
