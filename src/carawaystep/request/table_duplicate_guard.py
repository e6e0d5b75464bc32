"""Deduplication by rows of a platform table."""

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

REQUEST_KEYS_TABLE = "request_keys"
CLAIMED = "claimed"
RELEASED = "released"
FINISHED = "finished"

# Attempts to store a reply. If all of them fail, the row stays claimed and the
# caller's repeated requests get the outcome "unknown".
MAX_REPLY_WRITES = 3


class TableDuplicateGuard(DuplicateGuard):
    """Claims a key by inserting a row before the request is dispatched.

    All entries of all availability zones share the table. While the platform
    does not answer, claims are not granted and requests do not run.
    """

    def __init__(self, table: TableService) -> None:
        """Create the guard.

        :param table: the platform's table service
        """
        self._table = table

    async def claim(
        self, service: str, key: str, request_id: str
    ) -> DuplicateClaim:
        """Insert the key's row, or claim a released row again."""
        row_key = f"{service}:{key}"
        read = await self._table.get(REQUEST_KEYS_TABLE, row_key)
        if not isinstance(read, Ok):
            return _unavailable()
        current = read.ok_value
        if current is not None and not _is_released(current):
            return DuplicateClaim(False, _reply_to_repeat(current))
        expected_version = 0 if current is None else current.version
        return await self._write_claim(row_key, request_id, expected_version)

    async def record_reply(
        self, service: str, key: str, claim: DuplicateClaim, reply: Reply
    ) -> None:
        """Write the reply to the row; if that fails, it stays claimed."""
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
            REQUEST_KEYS_TABLE,
            f"{service}:{key}",
            claim.version,
            row.to_value(),
        )
        for _ in range(MAX_REPLY_WRITES):
            commit = await self._table.transact([operation])
            if isinstance(commit, Ok):
                return
            if isinstance(commit.err_value, TableConflict):
                return

    async def _write_claim(
        self, row_key: str, request_id: str, expected_version: int
    ) -> DuplicateClaim:
        value = RequestKeyRow(request_id, CLAIMED).to_value()
        commit = await self._table.transact(
            [PutRow(REQUEST_KEYS_TABLE, row_key, expected_version, value)]
        )
        if isinstance(commit, Ok):
            return DuplicateClaim(True, None, commit.ok_value.versions[0])
        if isinstance(commit.err_value, TableOutcomeUnknown | TableConflict):
            return await self._read_back(row_key, request_id)
        return _unavailable()

    async def _read_back(
        self, row_key: str, request_id: str
    ) -> DuplicateClaim:
        """Read the row to decide whether a write took effect.

        Used when the write's answer was lost or reported a conflict: the row
        names the request that holds the claim.
        """
        read = await self._table.get(REQUEST_KEYS_TABLE, row_key)
        if not isinstance(read, Ok) or read.ok_value is None:
            return _unavailable()
        parsed = RequestKeyRow.parse(read.ok_value.value)
        if isinstance(parsed, Ok) and parsed.ok_value.request_id == request_id:
            return DuplicateClaim(True, None, read.ok_value.version)
        return DuplicateClaim(False, _reply_to_repeat(read.ok_value))


def _is_released(row: Row) -> bool:
    parsed = RequestKeyRow.parse(row.value)
    return isinstance(parsed, Ok) and parsed.ok_value.state == RELEASED


def _reply_to_repeat(row: Row) -> Reply:
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
        "An earlier request with this idempotency key was accepted and is not "
        "known to have ended; try again later with the same key.",
    )


def _unavailable() -> DuplicateClaim:
    return DuplicateClaim(
        False,
        Reply.not_run(
            OutcomeReason.PLATFORM_UNAVAILABLE,
            "The idempotency key could not be stored, so the request was not "
            "run; send it again later.",
        ),
    )
