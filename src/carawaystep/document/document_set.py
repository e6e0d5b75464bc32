"""Documents in force in one entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.document.stored_document import StoredDocument


class DocumentSet:
    """The highest known version of each document.

    Its rule: the version of a document in force never falls, whatever order
    the platform's and the peers' answers arrive in.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self._documents: dict[str, StoredDocument] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Return the platform revision of the newest change in force."""
        return self._revision

    @property
    def documents(self) -> tuple[StoredDocument, ...]:
        """Return all documents that are not deleted."""
        return tuple(
            document
            for document in self._documents.values()
            if document.spec is not None
        )

    def get(self, service: str) -> StoredDocument | None:
        """Return the document in force, None when there is none."""
        document = self._documents.get(service)
        if document is None or document.spec is None:
            return None
        return document

    def apply(self, document: StoredDocument) -> bool:
        """Put a version in force unless a higher or equal one already is.

        :returns: True when the version in force changed
        """
        present = self._documents.get(document.service)
        if present is not None and present.version >= document.version:
            return False
        self._documents[document.service] = document
        return True

    def advance_revision(self, revision: int) -> None:
        """Record that every change up to a revision is in force."""
        self._revision = max(self._revision, revision)
