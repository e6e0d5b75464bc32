"""The service documents in force in one entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.document.stored_document import StoredDocument


class DocumentSet:
    """The highest known version of each document.

    Invariant: the version in force of a document never decreases, whatever
    the order in which answers of the platform and of peers arrive.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self._documents: dict[str, StoredDocument] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Return the revision up to which changes are applied or rejected."""
        return self._revision

    @property
    def documents(self) -> tuple[StoredDocument, ...]:
        """Return the documents in force, without the deleted ones."""
        return tuple(
            document
            for document in self._documents.values()
            if document.spec is not None
        )

    def get(self, service: str) -> StoredDocument | None:
        """Return the document in force of a service.

        :param service: name of the service
        :returns: None if the document is unknown or deleted
        """
        document = self._documents.get(service)
        if document is None or document.spec is None:
            return None
        return document

    def apply(self, document: StoredDocument) -> bool:
        """Store a version unless this or a higher one is already stored.

        :param document: a version of a document
        :returns: True if the version was newer
        """
        current = self._documents.get(document.service)
        if current is not None and current.version >= document.version:
            return False
        self._documents[document.service] = document
        return True

    def advance_revision(self, revision: int) -> None:
        """Record that every change up to a revision is applied or rejected.

        :param revision: platform revision; a lower one is ignored
        """
        self._revision = max(self._revision, revision)
