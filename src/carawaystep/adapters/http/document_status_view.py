"""Body of the reply that states where a document is in force."""

from __future__ import annotations

from pydantic import BaseModel


class DocumentStatusView(BaseModel):
    """Latest version of a document and the revision that each entry applied.

    See :class:`DocumentStatus`.
    """

    version: int
    revision: int
    entries: dict[str, int]
    in_force: bool
