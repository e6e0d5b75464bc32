"""Validates and stores service documents on behalf of operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from carawaystep.document.document_loader import load_document
from carawaystep.entry.call_failure import CallFailure
from carawaystep.entry.call_failure import CallFailureCode
from carawaystep.entry.document_commit import DocumentCommit
from carawaystep.entry.document_follower import DOCUMENTS_TABLE
from carawaystep.entry.document_status import DocumentStatus
from carawaystep.entry.entries_follower import ENTRIES_TABLE
from carawaystep.membership.entry_row import EntryRow
from carawaystep.store.operation import PutRow
from carawaystep.store.table_failure import TableConflict
from carawaystep.store.table_failure import TableOutcomeUnknown

if TYPE_CHECKING:
    from carawaystep.document.service_spec import ServiceSpec
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.store.row import Row
    from carawaystep.store.table_failure import TableFailure


class DocumentWriter:
    """Stores documents and reports in which entries they are in force.

    Concurrent edits are resolved by compare-and-set on the platform's row.
    """

    def __init__(self, state: EntryState) -> None:
        """Create a writer.

        :param state: shared state of the entry process
        """
        self._state = state

    async def put(
        self, service: str, text: str, expected: int, team: str | None
    ) -> Result[DocumentCommit, CallFailure]:
        """Validate and store a document.

        :param service: service that the document must name
        :param text: YAML text
        :param expected: row version that it replaces, 0 for a new document
        :param team: team of the operator, None for one that may edit the
            documents of all teams
        :returns: the new version, or why the document was not stored
        """
        loaded = load_document(text, service, expected + 1)
        if not isinstance(loaded, Ok):
            problems = "\n".join(str(problem) for problem in loaded.err_value)
            return Err(CallFailure(CallFailureCode.INVALID, problems))
        refusal = self._find_refusal(loaded.ok_value, service, team)
        if refusal is not None:
            return Err(refusal)
        value = {"text": text, "team": loaded.ok_value.team}
        written = await self._state.ports.store.transact(
            [PutRow(DOCUMENTS_TABLE, service, expected, value)]
        )
        if isinstance(written, Ok):
            self._state.documents_read_requested.set()
            commit = written.ok_value
            return Ok(DocumentCommit(commit.versions[0], commit.revision))
        return await self._resolve_failure(
            service, value, expected, written.err_value
        )

    async def status(
        self, service: str
    ) -> Result[DocumentStatus, CallFailure]:
        """Report in which entries the latest version is in force.

        :param service: name of the service
        """
        store = self._state.ports.store
        document = await store.get(DOCUMENTS_TABLE, service)
        entries = await store.changes(ENTRIES_TABLE, 0)
        if not isinstance(document, Ok) or not isinstance(entries, Ok):
            return Err(_unavailable())
        row = document.ok_value
        if row is None:
            return Err(
                CallFailure(
                    CallFailureCode.NOT_FOUND,
                    f"Service {service!r} has no document; apply one.",
                )
            )
        revisions = self._applied_revisions(entries.ok_value.rows)
        in_force = all(rev >= row.revision for rev in revisions.values())
        return Ok(
            DocumentStatus(row.version, row.revision, revisions, in_force)
        )

    def _applied_revisions(self, rows: tuple[Row, ...]) -> dict[str, int]:
        """Return the highest known applied revision of each live entry.

        Both the row and the last peer heartbeat may be outdated, so the
        higher revision counts.
        """
        state = self._state
        revisions = {state.settings.name: state.documents.revision}
        for row in rows:
            parsed = EntryRow.parse(row.value)
            if not isinstance(parsed, Ok):
                continue
            record = parsed.ok_value
            if not state.directory.is_alive(record.name, state.now):
                continue
            load = state.fleet_view.load_of(record.name, state.now)
            reported_revision = 0 if load is None else load.documents_revision
            revisions[record.name] = max(
                record.documents_revision,
                reported_revision,
                revisions.get(record.name, 0),
            )
        return revisions

    def _find_refusal(
        self, spec: ServiceSpec, service: str, team: str | None
    ) -> CallFailure | None:
        """Return why the operator may not store the document, or None."""
        if spec.service != service:
            return CallFailure(
                CallFailureCode.INVALID,
                f"The document names service {spec.service!r}, but it was "
                f"sent for {service!r}; send it for the service it names.",
            )
        if team is None:
            return None
        current = self._state.spec(service)
        owning_team = spec.team if current is None else current.team
        if team in (spec.team, owning_team) and spec.team == owning_team:
            return None
        return CallFailure(
            CallFailureCode.FORBIDDEN,
            f"Service {service!r} belongs to team {owning_team!r}; the "
            "document must name that team and be sent with one of its tokens.",
        )

    async def _resolve_failure(
        self,
        service: str,
        value: dict[str, str],
        expected: int,
        failure: TableFailure,
    ) -> Result[DocumentCommit, CallFailure]:
        """Return the result of a write that did not return success.

        The write may have lost a race, or taken effect without an answer.
        """
        if isinstance(failure, TableOutcomeUnknown):
            return await self._resolve_unknown_write(service, value, expected)
        if not isinstance(failure, TableConflict):
            return Err(_unavailable())
        version = failure.versions.get((DOCUMENTS_TABLE, service), 0)
        return Err(_conflict(service, expected, version))

    async def _resolve_unknown_write(
        self, service: str, value: dict[str, str], expected: int
    ) -> Result[DocumentCommit, CallFailure]:
        read = await self._state.ports.store.get(DOCUMENTS_TABLE, service)
        row = read.ok_value if isinstance(read, Ok) else None
        if row is None or row.version <= expected:
            return Err(
                CallFailure(
                    CallFailureCode.UNKNOWN,
                    "The platform did not confirm whether the document was "
                    "stored; read its version before sending it again.",
                )
            )
        if row.version == expected + 1 and row.value == value:
            return Ok(DocumentCommit(row.version, row.revision))
        return Err(_conflict(service, expected, row.version))


def _conflict(service: str, expected: int, version: int) -> CallFailure:
    return CallFailure(
        CallFailureCode.CONFLICT,
        f"Document {service!r} has version {version}, not {expected}; read "
        "it, merge your change and send it with the version that you read.",
        version,
    )


def _unavailable() -> CallFailure:
    return CallFailure(
        CallFailureCode.PLATFORM_UNAVAILABLE,
        "The platform is not available; nothing was changed. Try again later.",
    )
