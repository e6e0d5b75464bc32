"""Body of the replies of the liveness and readiness checks."""

from __future__ import annotations

from pydantic import BaseModel


class HealthView(BaseModel):
    """State of the process, as one word."""

    status: str
