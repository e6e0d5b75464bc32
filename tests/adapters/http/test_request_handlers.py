"""Tests of the handler of requests."""

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
from tests.adapters.http.front_end import OPERATOR
from tests.adapters.http.front_end import OTHER_SERVICE_CALLER

if TYPE_CHECKING:
    from tests.adapters.http.front_end import HttpReply

_PATH = "/v1/services/bookings/requests"
_CHARGES = "/v1/services/charges/requests"


class RequestsTest(TestCase):
    """Tests outcomes, statuses and refusals of requests."""

    def _post(
        self, front_end: FrontEnd, *headers: tuple[str, str], path: str = _PATH
    ) -> HttpReply:
        return asyncio.run(
            front_end.call("POST", path, body=b"seat", headers=headers)
        )

    def test_answer_reaches_the_caller_unchanged(self) -> None:
        """Guards against a lost body, key or deadline."""
        front_end = FrontEnd()
        reply = self._post(
            front_end,
            ("Idempotency-Key", "k" * 128),
            ("Carawaystep-Deadline", "1.5"),
            path=_CHARGES,
        )
        self.assertEqual((200, b"42"), (reply.status, reply.body))
        self.assertEqual("answered", reply.headers["carawaystep-outcome"])
        self.assertEqual("i1-7", reply.headers["carawaystep-request-id"])
        [call] = front_end.service.started_requests
        self.assertEqual(
            ("charges", "k" * 128, b"seat"),
            (call.service, call.idempotency_key, call.body),
        )
        self.assertGreater(call.deadline_s or 0.0, 1.0)
        self.assertLessEqual(call.deadline_s or 0.0, 1.5)

    def test_outcomes_have_their_statuses(self) -> None:
        """Guards against unknown outcomes that look safe to retry."""
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
            front_end = FrontEnd()
            front_end.service.reply = reply
            response = self._post(front_end)
            self.assertEqual(status, response.status)
            self.assertEqual(retry, "retry-after" in response.headers)
            self.assertEqual(
                reply.outcome, response.headers["carawaystep-outcome"]
            )
            self.assertEqual(
                {"error": str(reply.reason), "detail": "d"}, response.json
            )

    def test_every_failure_code_has_a_status(self) -> None:
        """Guards against a new code that causes an internal error."""
        self.assertEqual(set(CallFailureCode), set(FAILURE_STATUSES))

    def test_refused_requests_have_the_outcome_not_run(self) -> None:
        """Guards against a refusal without the outcome "not-run"."""
        key = ("Idempotency-Key", "k")
        deadline_header = "Carawaystep-Deadline"
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
            (400, "bad-deadline", _PATH, ((deadline_header, value),))
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
            front_end = FrontEnd()
            reply = self._post(front_end, *headers, path=path)
            self.assertEqual(
                (status, error), (reply.status, reply.json["error"])
            )
            self._assert_not_run(front_end, reply)

    def test_long_deadline_is_reduced_to_the_maximum(self) -> None:
        """Guards against a request that waits longer than the limit."""
        front_end = FrontEnd()
        self._post(front_end, ("Carawaystep-Deadline", "3601"))
        [call] = front_end.service.started_requests
        self.assertLessEqual(call.deadline_s or 0.0, 60.0)

    def test_draining_entry_refuses_requests(self) -> None:
        """Guards against requests accepted by a draining entry."""
        front_end = FrontEnd()
        front_end.service.is_ready = False
        reply = self._post(front_end)
        self.assertEqual(503, reply.status)
        self.assertIn("retry-after", reply.headers)
        self._assert_not_run(front_end, reply)

    def test_access_is_checked_first(self) -> None:
        """Guards against requests that run without authorization."""
        for token, status in (
            (None, 401),
            ("unknown-token-000", 401),
            (OPERATOR, 403),
            (OTHER_SERVICE_CALLER, 403),
        ):
            front_end = FrontEnd()
            reply = asyncio.run(front_end.call("POST", _PATH, token))
            self.assertEqual(status, reply.status)
            self._assert_not_run(front_end, reply)

    def test_exception_gives_the_outcome_unknown(self) -> None:
        """Guards against exposed error texts and a false "not-run"."""
        front_end = FrontEnd()
        front_end.service.error = ValueError("hidden")
        reply = self._post(front_end)
        self.assertEqual(
            (500, "internal"), (reply.status, reply.json["error"])
        )
        self.assertEqual("unknown", reply.headers["carawaystep-outcome"])
        self.assertNotIn(b"hidden", reply.body)
        self.assertEqual([], front_end.broken_invariants)

    def test_call_after_its_timeout_is_unknown(self) -> None:
        """Guards against a connection that waits forever for the service."""
        self.patch(request_handlers, "_OUTCOME_TIMEOUT_MARGIN_S", 0.01)
        front_end = FrontEnd()
        front_end.service.gate.clear()
        reply = self._post(front_end, ("Carawaystep-Deadline", "0.05"))
        self.assertEqual((504, "unknown"), (reply.status, reply.json["error"]))
        self.assertEqual("unknown", reply.headers["carawaystep-outcome"])

    def test_broken_invariant_is_reported(self) -> None:
        """Guards against a process that runs on with a broken invariant."""
        front_end = FrontEnd()
        front_end.service.error = BrokenInvariant("twice")
        self.assertEqual(500, self._post(front_end).status)
        self.assertEqual(
            [front_end.service.error], front_end.broken_invariants
        )

    def test_exception_before_the_call_is_not_run(self) -> None:
        """Guards against a reply without an outcome after an exception.

        The exception is raised before the request is dispatched.
        """
        front_end = FrontEnd()
        front_end.service.specs = None  # type: ignore[assignment]
        reply = self._post(front_end)
        self.assertEqual(
            (500, "internal"), (reply.status, reply.json["error"])
        )
        self._assert_not_run(front_end, reply)

    def test_metrics_count_outcomes(self) -> None:
        """Guards against replies that no metric counts."""
        front_end = FrontEnd()
        self._post(front_end)
        reply = asyncio.run(front_end.call("GET", "/metrics", None))
        self.assertIn("version=0.0.4", reply.headers["content-type"])
        metrics_text = reply.body.decode()
        self.assertIn(
            'carawaystep_requests_total{outcome="answered",reason="none",'
            'service="bookings"} 1',
            metrics_text,
        )
        self.assertIn(
            'seconds_bucket{le="60.0",service="bookings"} 1', metrics_text
        )

    def _assert_not_run(self, front_end: FrontEnd, reply: HttpReply) -> None:
        self.assertEqual([], front_end.service.started_requests)
        self.assertEqual("not-run", reply.headers["carawaystep-outcome"])
        self.assertIn("carawaystep-request-id", reply.headers)
        self.assertEqual({"error", "detail"}, set(reply.json))
