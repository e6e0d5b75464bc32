"""Body of the reply that lists the documents in force."""

from __future__ import annotations

from pydantic import BaseModel

from carawaystep.adapters.http.document_view import DocumentView


class DocumentListView(BaseModel):
    """Documents in force that the token covers, ordered by service."""

    documents: list[DocumentView]
