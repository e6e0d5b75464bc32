"""Follows the table of service documents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from carawaystep.document.document_loader import load_document
from carawaystep.document.stored_document import StoredDocument
from carawaystep.entry.table_follower import TableFollower

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.store.row import Row

DOCUMENTS_TABLE = "documents"


class DocumentFollower(TableFollower):
    """Puts each new version of a document in force in this process."""

    def __init__(self, state: EntryState) -> None:
        """Create a follower of the table ``documents``."""
        super().__init__(
            state, DOCUMENTS_TABLE, state.documents_read_requested
        )

    def apply(self, row: Row, now: float) -> None:
        """Put a document in force unless this or a higher version already is.

        A rejected document does not advance the revision, but the next valid
        row does.
        """
        text = "" if row.value is None else str(row.value.get("text", ""))
        if self.put_in_force(row.key, row.version, text, now):
            self._state.documents.advance_revision(row.revision)

    def put_in_force(
        self, service: str, version: int, text: str, now: float
    ) -> bool:
        """Put a version in force unless this or a higher one already is.

        :param service: name of the service
        :param version: row version
        :param text: YAML text, empty when the document was deleted
        :param now: current monotonic time in seconds
        :returns: False when the text is invalid
        """
        spec = None
        if text:
            loaded = load_document(text, service, version)
            if not isinstance(loaded, Ok):
                # The previous version stays in force: a document that an
                # entry of another release accepted must not stop the service
                # here.
                self._state.counters.count("documents_rejected")
                self._state.record_event(
                    "document.rejected",
                    service,
                    version=version,
                    detail=str(loaded.err_value[0]),
                )
                return False
            spec = loaded.ok_value
        document = StoredDocument(service, version, text, spec)
        if self._state.documents.apply(document):
            self._state.record_event(
                "document.in-force", service, version=version
            )
            self._state.notify_capacity()
        return True
