"""Reply of the liveness and readiness checks."""

from __future__ import annotations

from pydantic import BaseModel


class HealthView(BaseModel):
    """State of the process in one word."""

    status: str
