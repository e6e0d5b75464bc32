"""Reply to an accepted document."""

from __future__ import annotations

from pydantic import BaseModel


class DocumentCommitView(BaseModel):
    """Version of the document and revision of its write."""

    version: int
    revision: int
