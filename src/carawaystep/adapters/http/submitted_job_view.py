"""Reply to a job submission."""

from __future__ import annotations

from pydantic import BaseModel


class SubmittedJobView(BaseModel):
    """Where the caller finds its job."""

    id: str
    state: str
