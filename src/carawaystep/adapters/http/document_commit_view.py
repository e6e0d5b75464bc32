"""Body of the reply to a written document."""

from __future__ import annotations

from pydantic import BaseModel


class DocumentCommitView(BaseModel):
    """Version of the written document and revision of the write."""

    version: int
    revision: int
