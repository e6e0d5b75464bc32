"""Base class of all settings models."""

from __future__ import annotations

from pydantic import BaseModel
from pydantic import ConfigDict


class SettingsModel(BaseModel):
    """Immutable model that rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)
