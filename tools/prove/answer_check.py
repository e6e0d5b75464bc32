"""Answers are whole and belong to the request."""

from __future__ import annotations

from collections import defaultdict
import json
from typing import TYPE_CHECKING

from carawaystep.request.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from tools.call_record import CallRecord
    from tools.ledger import Ledger
    from tools.prove.violation_log import ViolationLog


class AnswerCheck:
    """Compares the worker's JSON with the call that it answers."""

    def __init__(self, log: ViolationLog) -> None:
        """Create a check.

        :param log: takes the results
        """
        self._log = log

    def judge(
        self, calls: Sequence[CallRecord], ledgers: Sequence[Ledger]
    ) -> None:
        """Check all calls that were told to be answered."""
        ids_by_key: dict[tuple[str, str], set[str]] = defaultdict(set)
        for ledger in ledgers:
            for execution in ledger.executions:
                if execution.key is not None:
                    name = (execution.service, execution.key)
                    ids_by_key[name].add(execution.id)
        for call in calls:
            if call.outcome is not Outcome.ANSWERED:
                continue
            fault = self._fault(call, ids_by_key)
            self._log.check(
                fault is None,
                f"answer to request {call.request_id} of {call.service}"
                f" {fault}: {call.body[:200]!r}",
                call.started_at + call.latency_s,
            )

    def _fault(
        self,
        call: CallRecord,
        ids_by_key: dict[tuple[str, str], set[str]],
    ) -> str | None:
        content = self._content(call.body)
        if content is None:
            return "is not whole"
        if content.get("sha256") != call.sent_sha256:
            return "belongs to another body"
        dispatch = str(content.get("request_id"))
        if dispatch.partition("/")[0] == call.request_id:
            return None
        # A repeat of a key gets the answer to the call that ran.
        if call.key is not None and dispatch in ids_by_key.get(
            (call.service, call.key), set()
        ):
            return None
        return "belongs to another request"

    @staticmethod
    def _content(body: bytes) -> dict[str, Any] | None:
        try:
            content = json.loads(body)
        except ValueError:
            return None
        return content if isinstance(content, dict) else None
