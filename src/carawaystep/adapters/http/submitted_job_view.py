"""Body of the reply to a job submission."""

from __future__ import annotations

from pydantic import BaseModel


class SubmittedJobView(BaseModel):
    """Id and state of an accepted job."""

    id: str
    state: str
