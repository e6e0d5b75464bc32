"""Body of every error reply."""

from __future__ import annotations

from pydantic import BaseModel


class ErrorBody(BaseModel):
    """Code for programs, sentence for people."""

    error: str
    detail: str
    version: int | None = None
