"""Checks that each answer is complete and belongs to its request."""

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
    """Compares the worker's JSON in each answer with the call."""

    def __init__(self, violations: ViolationLog) -> None:
        """Create a check.

        :param violations: records the result of each check
        """
        self._violations = violations

    def check_answers(
        self, calls: Sequence[CallRecord], ledgers: Sequence[Ledger]
    ) -> None:
        """Check the body of each call whose outcome is answered.

        :param calls: calls of the load generators
        :param ledgers: ledgers of all workers, with those of killed ones
        """
        ids_by_key: dict[tuple[str, str], set[str]] = defaultdict(set)
        for ledger in ledgers:
            for execution in ledger.executions:
                if execution.key is not None:
                    name = (execution.service, execution.key)
                    ids_by_key[name].add(execution.id)
        for call in calls:
            if call.outcome is not Outcome.ANSWERED:
                continue
            problem = self._find_problem(call, ids_by_key)
            self._violations.record_check(
                problem is None,
                f"answer to request {call.request_id} of {call.service}"
                f" {problem}: {call.body[:200]!r}",
                call.started_at + call.latency_s,
            )

    def _find_problem(
        self,
        call: CallRecord,
        ids_by_key: dict[tuple[str, str], set[str]],
    ) -> str | None:
        content = self._parse_body(call.body)
        if content is None:
            return "is not a complete JSON object"
        if content.get("sha256") != call.sent_sha256:
            return "has the digest of another body"
        execution_id = str(content.get("request_id"))
        if execution_id.partition("/")[0] == call.request_id:
            return None
        # A repeated idempotency key gets the answer of the request that ran.
        if call.key is not None and execution_id in ids_by_key.get(
            (call.service, call.key), set()
        ):
            return None
        return "is for another request"

    @staticmethod
    def _parse_body(body: bytes) -> dict[str, Any] | None:
        try:
            content = json.loads(body)
        except ValueError:
            return None
        return content if isinstance(content, dict) else None
