"""Where a document is in force."""

from __future__ import annotations

from pydantic import BaseModel


class DocumentStatusView(BaseModel):
    """Revisions in force by entry."""

    version: int
    revision: int
    entries: dict[str, int]
    in_force: bool
