"""Duplicate guard on the platform's table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from carawaystep.request.duplicate_claim import DuplicateClaim
from carawaystep.request.duplicate_guard import DuplicateGuard
from carawaystep.request.outcome import Outcome
from carawaystep.request.outcome_reason import OutcomeReason
from carawaystep.request.reply import Reply
from carawaystep.request.request_key_row import RequestKeyRow
from carawaystep.store.operation import PutRow
from carawaystep.store.table_failure import TableConflict
from carawaystep.store.table_failure import TableOutcomeUnknown

if TYPE_CHECKING:
    from carawaystep.store.row import Row
    from carawaystep.store.table_service import TableService

TABLE = "request_keys"
CLAIMED = "claimed"
RELEASED = "released"
FINISHED = "finished"

# Attempts to record a reply; after them a repeat is told "unknown".
SETTLE_ATTEMPTS = 3


class TableDuplicateGuard(DuplicateGuard):
    """Claims a key by inserting a row, before anything is dispatched.

    Works through every entry and availability zone, but only while the
    platform answers; without it the request is not run.
    """

    def __init__(self, table: TableService) -> None:
        """Create the guard.

        :param table: the platform's table service
        """
        self._table = table

    async def claim(
        self, service: str, key: str, request_id: str
    ) -> DuplicateClaim:
        """Insert the key's row, or take over a released one."""
        row_key = f"{service}:{key}"
        read = await self._table.get(TABLE, row_key)
        if not isinstance(read, Ok):
            return _unavailable()
        present = read.ok_value
        if present is not None and not _is_released(present):
            return DuplicateClaim(False, _repeat_reply(present))
        expected = 0 if present is None else present.version
        return await self._write_claim(row_key, request_id, expected)

    async def settle(
        self, service: str, key: str, claim: DuplicateClaim, reply: Reply
    ) -> None:
        """Record the reply; a failure leaves the row claimed."""
        state = RELEASED if reply.outcome is Outcome.NOT_RUN else FINISHED
        row = RequestKeyRow(
            request_id="",
            state=state,
            outcome=reply.outcome.value,
            reason=reply.reason.value,
            detail=reply.detail,
            body=reply.body.decode("latin-1"),
        )
        operation = PutRow(
            TABLE, f"{service}:{key}", claim.version, row.to_value()
        )
        for _ in range(SETTLE_ATTEMPTS):
            written = await self._table.transact([operation])
            if isinstance(written, Ok):
                return
            if isinstance(written.err_value, TableConflict):
                return

    async def _write_claim(
        self, row_key: str, request_id: str, expected: int
    ) -> DuplicateClaim:
        value = RequestKeyRow(request_id, CLAIMED).to_value()
        written = await self._table.transact(
            [PutRow(TABLE, row_key, expected, value)]
        )
        if isinstance(written, Ok):
            return DuplicateClaim(True, None, written.ok_value.versions[0])
        if isinstance(written.err_value, TableOutcomeUnknown | TableConflict):
            return await self._read_back(row_key, request_id)
        return _unavailable()

    async def _read_back(
        self, row_key: str, request_id: str
    ) -> DuplicateClaim:
        """Decide by the row whether a claim without an answer was made."""
        read = await self._table.get(TABLE, row_key)
        if not isinstance(read, Ok) or read.ok_value is None:
            return _unavailable()
        parsed = RequestKeyRow.parse(read.ok_value.value)
        if isinstance(parsed, Ok) and parsed.ok_value.request_id == request_id:
            return DuplicateClaim(True, None, read.ok_value.version)
        return DuplicateClaim(False, _repeat_reply(read.ok_value))


def _is_released(row: Row) -> bool:
    parsed = RequestKeyRow.parse(row.value)
    return isinstance(parsed, Ok) and parsed.ok_value.state == RELEASED


def _repeat_reply(row: Row) -> Reply:
    parsed = RequestKeyRow.parse(row.value)
    if isinstance(parsed, Ok) and parsed.ok_value.state == FINISHED:
        stored = parsed.ok_value
        return Reply(
            Outcome(stored.outcome),
            OutcomeReason(stored.reason),
            stored.detail,
            stored.body.encode("latin-1"),
        )
    return Reply.unknown(
        OutcomeReason.DUPLICATE,
        "A request with this key was accepted before and is not known to "
        "have ended; ask again later with the same key.",
    )


def _unavailable() -> DuplicateClaim:
    return DuplicateClaim(
        False,
        Reply.not_run(
            OutcomeReason.PLATFORM_UNAVAILABLE,
            "The key could not be recorded, so nothing was run; send the "
            "request again later.",
        ),
    )
