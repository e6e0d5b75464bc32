"""Service document in replies to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import BaseModel

if TYPE_CHECKING:
    from carawaystep.document.stored_document import StoredDocument


class DocumentView(BaseModel):
    """One version of a document."""

    service: str
    version: int
    text: str

    @classmethod
    def from_document(cls, document: StoredDocument) -> DocumentView:
        """Return the view of a document."""
        return cls(
            service=document.service,
            version=document.version,
            text=document.text,
        )
