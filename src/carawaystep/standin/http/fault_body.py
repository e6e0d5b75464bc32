"""Request body that replaces the faults of a stand-in."""

from __future__ import annotations

from pydantic import BaseModel
from pydantic import Field

from carawaystep.standin.faults import Faults
from carawaystep.standin.http.body_config import BODY_CONFIG

_MAX_FAULT_DURATION_S = 86_400.0


class FaultBody(BaseModel):
    """All faults; a missing field turns its fault off."""

    model_config = BODY_CONFIG

    delay_s: float = Field(default=0.0, ge=0, le=_MAX_FAULT_DURATION_S)
    refuse: bool = False
    freeze_s: float = Field(default=0.0, ge=0, le=_MAX_FAULT_DURATION_S)
    lag_s: float = Field(default=0.0, ge=0, le=_MAX_FAULT_DURATION_S)
    lose_answers: int = Field(default=0, ge=-1)

    def to_faults(self) -> Faults:
        """Convert to the internal representation."""
        return Faults(
            self.delay_s,
            self.refuse,
            self.freeze_s,
            self.lag_s,
            self.lose_answers,
        )
