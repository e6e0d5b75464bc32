"""Tests of the requests of callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.adapters.http import request_handlers
from carawaystep.adapters.http.statuses import FAILURE_STATUSES
from carawaystep.entry.call_failure import CallFailureCode
from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.request.outcome_reason import OutcomeReason
from carawaystep.request.reply import Reply
from tests.adapters.http.front_end import FrontEnd
from tests.adapters.http.front_end import LIMITED
from tests.adapters.http.front_end import OPERATOR

if TYPE_CHECKING:
    from tests.adapters.http.front_end import HttpReply

_PATH = "/v1/services/bookings/requests"
_CHARGES = "/v1/services/charges/requests"


class RequestsTest(TestCase):
    """Outcomes, statuses and refusals."""

    def _post(
        self, front: FrontEnd, *headers: tuple[str, str], path: str = _PATH
    ) -> HttpReply:
        return asyncio.run(
            front.call("POST", path, body=b"seat", headers=headers)
        )

    def test_answer_reaches_the_caller_unchanged(self) -> None:
        """Guards against a lost body, key or deadline."""
        front = FrontEnd()
        reply = self._post(
            front,
            ("Idempotency-Key", "k" * 128),
            ("Carawaystep-Deadline", "1.5"),
            path=_CHARGES,
        )
        self.assertEqual((200, b"42"), (reply.status, reply.body))
        self.assertEqual("answered", reply.headers["carawaystep-outcome"])
        self.assertEqual("i1-7", reply.headers["carawaystep-request-id"])
        [call] = front.service.started
        self.assertEqual(
            ("charges", "k" * 128, b"seat"),
            (call.service, call.idempotency_key, call.body),
        )
        self.assertGreater(call.deadline_s or 0.0, 1.0)
        self.assertLessEqual(call.deadline_s or 0.0, 1.5)

    def test_outcomes_have_their_statuses(self) -> None:
        """Guards against "unknown" that looks safe to send again."""
        reasons = OutcomeReason
        for reply, status, retry in (
            (Reply.not_run(reasons.NO_ROOM, "d"), 503, True),
            (Reply.not_run(reasons.SHED, "d"), 429, True),
            (Reply.not_run(reasons.DEADLINE, "d"), 504, False),
            (Reply.not_run(reasons.PLATFORM_UNAVAILABLE, "d"), 503, True),
            (Reply.unknown(reasons.WORKER_SILENT, "d"), 502, False),
            (Reply.unknown(reasons.DEADLINE, "d"), 504, False),
            (Reply.unknown(reasons.DUPLICATE, "d"), 409, False),
        ):
            front = FrontEnd()
            front.service.reply = reply
            got = self._post(front)
            self.assertEqual(status, got.status)
            self.assertEqual(retry, "retry-after" in got.headers)
            self.assertEqual(reply.outcome, got.headers["carawaystep-outcome"])
            self.assertEqual(
                {"error": str(reply.reason), "detail": "d"}, got.json
            )

    def test_every_failure_code_has_a_status(self) -> None:
        """Guards against a new code that ends in an internal error."""
        self.assertEqual(set(CallFailureCode), set(FAILURE_STATUSES))

    def test_refused_requests_are_told_as_not_run(self) -> None:
        """Guards against a refusal that leaves the caller in doubt."""
        key = ("Idempotency-Key", "k")
        text = "Carawaystep-Deadline"
        cases: list[tuple[int, str, str, tuple[tuple[str, str], ...]]] = [
            (404, "unknown-service", "/v1/services/none/requests", ()),
            (404, "wrong-kind", "/v1/services/routes/requests", ()),
            (400, "idempotency-key-required", _CHARGES, ()),
            (400, "bad-header", _CHARGES, (key, key)),
            (415, "unsupported-content-type", _PATH,
             (("Content-Type", "text/html"),)),
            (415, "unsupported-encoding", _PATH,
             (("Content-Encoding", "gzip"),)),
        ]  # fmt: skip
        cases += [
            (400, "bad-deadline", _PATH, ((text, value),))
            for value in (
                "0",
                "-1",
                "nan",
                "inf",
                "1e999",
                "",
                "1_0",
                "9" * 99,
            )
        ]
        cases += [
            (400, "bad-idempotency-key", _CHARGES, (("Idempotency-Key", v),))
            for v in ("", "k" * 129, "a b", "clé", "a\tb")
        ]
        for status, error, path, headers in cases:
            front = FrontEnd()
            reply = self._post(front, *headers, path=path)
            self.assertEqual(
                (status, error), (reply.status, reply.json["error"])
            )
            self._assert_not_run(front, reply)

    def test_long_deadline_is_cut(self) -> None:
        """Guards against a request that waits longer than the limit."""
        front = FrontEnd()
        self._post(front, ("Carawaystep-Deadline", "3601"))
        [call] = front.service.started
        self.assertLessEqual(call.deadline_s or 0.0, 60.0)

    def test_draining_entry_refuses(self) -> None:
        """Guards against work for a process that is about to end."""
        front = FrontEnd()
        front.service.is_ready = False
        reply = self._post(front)
        self.assertEqual(503, reply.status)
        self.assertIn("retry-after", reply.headers)
        self._assert_not_run(front, reply)

    def test_access_is_checked_first(self) -> None:
        """Guards against work for strangers."""
        for token, status in (
            (None, 401),
            ("unknown-token-000", 401),
            (OPERATOR, 403),
            (LIMITED, 403),
        ):
            front = FrontEnd()
            reply = asyncio.run(front.call("POST", _PATH, token))
            self.assertEqual(status, reply.status)
            self._assert_not_run(front, reply)

    def test_exception_gives_an_event_id_and_unknown(self) -> None:
        """Guards against a stack trace or a false "not-run"."""
        front = FrontEnd()
        front.service.error = ValueError("hidden")
        reply = self._post(front)
        self.assertEqual(
            (500, "internal"), (reply.status, reply.json["error"])
        )
        self.assertEqual("unknown", reply.headers["carawaystep-outcome"])
        self.assertNotIn(b"hidden", reply.body)
        self.assertEqual([], front.broken)

    def test_overdue_call_is_unknown(self) -> None:
        """Guards against a connection that waits for a stuck service."""
        self.patch(request_handlers, "_OUTCOME_TIMEOUT_MARGIN_S", 0.01)
        front = FrontEnd()
        front.service.gate.clear()
        reply = self._post(front, ("Carawaystep-Deadline", "0.05"))
        self.assertEqual((504, "unknown"), (reply.status, reply.json["error"]))
        self.assertEqual("unknown", reply.headers["carawaystep-outcome"])

    def test_broken_invariant_is_handed_on(self) -> None:
        """Guards against a process that goes on with a wrong state."""
        front = FrontEnd()
        front.service.error = BrokenInvariant("twice")
        self.assertEqual(500, self._post(front).status)
        self.assertEqual([front.service.error], front.broken)

    def test_fault_of_the_front_end_is_not_run(self) -> None:
        """Guards against a fault before the call that tells nothing."""
        front = FrontEnd()
        front.service.specs = None  # type: ignore[assignment]
        reply = self._post(front)
        self.assertEqual(
            (500, "internal"), (reply.status, reply.json["error"])
        )
        self._assert_not_run(front, reply)

    def test_metrics_count_outcomes(self) -> None:
        """Guards against replies that nobody sees."""
        front = FrontEnd()
        self._post(front)
        reply = asyncio.run(front.call("GET", "/metrics", None))
        self.assertIn("version=0.0.4", reply.headers["content-type"])
        text = reply.body.decode()
        self.assertIn(
            'carawaystep_requests_total{outcome="answered",reason="none",'
            'service="bookings"} 1',
            text,
        )
        self.assertIn('seconds_bucket{le="60.0",service="bookings"} 1', text)

    def _assert_not_run(self, front: FrontEnd, reply: HttpReply) -> None:
        self.assertEqual([], front.service.started)
        self.assertEqual("not-run", reply.headers["carawaystep-outcome"])
        self.assertIn("carawaystep-request-id", reply.headers)
        self.assertEqual({"error", "detail"}, set(reply.json))
