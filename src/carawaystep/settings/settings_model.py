"""Base of all settings models."""

from __future__ import annotations

from pydantic import BaseModel
from pydantic import ConfigDict


class SettingsModel(BaseModel):
    """Refuses unknown keys and is immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)
