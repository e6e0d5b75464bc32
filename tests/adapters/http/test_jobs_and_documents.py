"""Tests of jobs, documents and operations."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from testtools import TestCase

from carawaystep.entry.call_failure import CallFailure
from carawaystep.entry.call_failure import CallFailureCode
from carawaystep.errors.broken_invariant import BrokenInvariant
from tests.adapters.http.fake_entry_service import JOB_ID
from tests.adapters.http.front_end import ADMIN
from tests.adapters.http.front_end import CALLER
from tests.adapters.http.front_end import FrontEnd
from tests.adapters.http.front_end import LIMITED
from tests.adapters.http.front_end import OPERATOR

if TYPE_CHECKING:
    from tests.adapters.http.front_end import HttpReply

_JOBS = "/v1/services/routes/jobs"
_JOB = f"/v1/jobs/{JOB_ID}"
_DOCUMENT = "/v1/documents/bookings"


class _FrontEndTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.front = FrontEnd()

    def _call(
        self,
        method: str,
        path: str,
        token: str | None = CALLER,
        body: bytes = b"",
        *headers: tuple[str, str],
    ) -> HttpReply:
        return asyncio.run(self.front.call(method, path, token, body, headers))

    def _assert_error(self, status: int, error: str, reply: HttpReply) -> None:
        self.assertEqual((status, error), (reply.status, reply.json["error"]))
        self.assertTrue(reply.json["detail"])


class JobsTest(_FrontEndTest):
    """Submission, lookup and cancellation."""

    def test_job_is_accepted_with_its_values(self) -> None:
        """Guards against a lost key, input or due time."""
        reply = self._call(
            "POST", _JOBS, CALLER, b'{"input": {"a": [1, null]}, "due_s": 9}',
            ("Idempotency-Key", "k1"),
        )  # fmt: skip
        self.assertEqual(202, reply.status)
        self.assertEqual({"id": JOB_ID, "state": "queued"}, reply.json)
        [call] = self.front.service.jobs
        self.assertEqual(
            ("routes", "k1", '{"a":[1,null]}', 9.0, None),
            (call.service, call.idempotency_key, call.input, call.due_s,
             call.run_s),
        )  # fmt: skip

    def test_bad_bodies_are_refused(self) -> None:
        """Guards against jobs that cannot be stored or run."""
        for body in (
            b"", b"{", b"[]", b"{}", b"\xff", b'{"input": 1, "other": 2}',
            b'{"input": NaN}', b'{"input": 1e999}', b'{"input": "\\ud800"}',
            b'{"input": 1, "due_s": 0}', b'{"input": 1, "due_s": "5"}',
            b'{"input": 1, "run_s": 1e999}',
            b'{"input": 1' + b"0" * 5000 + b"}",
            b'{"input":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        ):  # fmt: skip
            reply = self._call("POST", _JOBS, CALLER, body)
            self._assert_error(400, "invalid", reply)
        self.assertEqual([], self.front.service.jobs)

    def test_refusals(self) -> None:
        """Guards against jobs of other kinds, types, sizes and callers."""
        body = b'{"input": 1}'
        call = self._call
        other = "/v1/services/bookings/jobs"
        self._assert_error(
            404, "wrong-kind", call("POST", other, CALLER, body)
        )
        big = b'"' + b"x" * 262_144 + b'"'
        self._assert_error(
            413, "body-too-large", call("POST", _JOBS, CALLER, big)
        )
        text = ("Content-Type", "text/plain")
        self._assert_error(
            415, "unsupported-content-type",
            call("POST", _JOBS, CALLER, body, text),
        )  # fmt: skip
        for token in (OPERATOR, LIMITED):
            self._assert_error(
                403, "forbidden", call("POST", _JOBS, token, body)
            )
        self.front.service.is_ready = False
        self._assert_error(503, "draining", call("POST", _JOBS, CALLER, body))
        self.assertEqual([], self.front.service.jobs)

    def test_job_is_found_and_cancelled(self) -> None:
        """Guards against cancelling another service's job."""
        self.assertEqual("queued", self._call("GET", _JOB).json["state"])
        for token in (LIMITED, "unknown-token-000"):
            self.assertIn(self._call("DELETE", _JOB, token).status, (401, 404))
        odd = self._call("DELETE", "/v1/jobs/..%2Fowners")
        self._assert_error(404, "not-found", odd)
        self.assertEqual([], self.front.service.cancelled)
        self.assertEqual(202, self._call("DELETE", _JOB).status)
        self.assertEqual([JOB_ID], self.front.service.cancelled)

    def test_failures_keep_their_meaning(self) -> None:
        """Guards against a lost write that looks like a refusal."""
        for code, status in (
            (CallFailureCode.PLATFORM_UNAVAILABLE, 503),
            (CallFailureCode.UNKNOWN, 502),
        ):
            self.front.service.failure = CallFailure(code, "d")
            reply = self._call("POST", _JOBS, CALLER, b'{"input": 1}')
            self._assert_error(status, str(code), reply)
            self.assertEqual(status == 503, "retry-after" in reply.headers)

    def test_broken_invariant_of_a_job_is_handed_on(self) -> None:
        """Guards against a job call that hides a broken invariant."""
        self.front.service.error = BrokenInvariant("twice")
        self._assert_error(500, "internal", self._call("GET", _JOB))
        self.assertEqual([self.front.service.error], self.front.broken)


class DocumentsTest(_FrontEndTest):
    """Reading and writing of documents."""

    def test_documents_are_read(self) -> None:
        """Guards against a missing document or version."""
        reply = self._call("GET", "/v1/documents", OPERATOR)
        self.assertEqual(
            ["bookings", "charges", "routes"],
            [document["service"] for document in reply.json["documents"]],
        )
        self.assertEqual(
            {"service": "bookings", "version": 3,
             "text": "service: bookings\n"},
            self._call("GET", _DOCUMENT, OPERATOR).json,
        )  # fmt: skip
        self.assertEqual(
            {"version": 3, "revision": 98, "entries": {"e1": 98},
             "in_force": True},
            self._call("GET", f"{_DOCUMENT}/status", OPERATOR).json,
        )  # fmt: skip
        missing = self._call("GET", "/v1/documents/none", OPERATOR)
        self._assert_error(404, "not-found", missing)

    def test_write_carries_version_and_team(self) -> None:
        """Guards against writes that skip the race or team check."""
        path = f"{_DOCUMENT}?expected=3"
        reply = self._call("PUT", path, OPERATOR, "é: 1".encode())
        self.assertEqual({"version": 4, "revision": 99}, reply.json)
        self._call("PUT", path, ADMIN, b"a: 1")
        self.assertEqual(
            [("bookings", "é: 1", 3, "desk"), ("bookings", "a: 1", 3, None)],
            self.front.service.puts,
        )

    def test_loser_of_a_race_learns_the_version(self) -> None:
        """Guards against a conflict that cannot be resolved."""
        reply = self._call("PUT", f"{_DOCUMENT}?expected=2", OPERATOR, b"a: 1")
        self._assert_error(409, "conflict", reply)
        self.assertEqual(3, reply.json["version"])

    def test_bad_writes_are_refused(self) -> None:
        """Guards against writes that nobody may make or read."""
        call = self._call
        write = f"{_DOCUMENT}?expected=3"
        for query in ("", "?expected=", "?expected=-1", "?expected=x",
                      "?expected=1&expected=2"):  # fmt: skip
            reply = call("PUT", _DOCUMENT + query, OPERATOR, b"a: 1")
            self._assert_error(400, "bad-expected", reply)
        self._assert_error(400, "invalid", call("PUT", write, ADMIN, b"\xff"))
        odd = "/v1/documents/Bad_Name?expected=0"
        self._assert_error(400, "invalid", call("PUT", odd, ADMIN, b"a: 1"))
        form = ("Content-Type", "application/x-www-form-urlencoded")
        self._assert_error(
            415, "unsupported-content-type",
            call("PUT", write, OPERATOR, b"a: 1", form),
        )  # fmt: skip
        big = b"#" * 262_145
        self._assert_error(
            413, "body-too-large", call("PUT", write, OPERATOR, big)
        )
        self._assert_error(
            403, "forbidden", call("PUT", write, CALLER, b"a: 1")
        )
        self.assertEqual([], self.front.service.puts)

    def test_team_cannot_take_over_a_service(self) -> None:
        """Guards against a text that names the operator's own team."""
        spec = self.front.service.specs["bookings"]
        other = type(spec)(
            **{name: getattr(spec, name) for name in spec.__slots__}
            | {"team": "pensions"}
        )
        self.front.service.specs["bookings"] = other
        path = f"{_DOCUMENT}?expected=3"
        reply = self._call("PUT", path, OPERATOR, b"team: desk")
        self._assert_error(403, "forbidden", reply)
        self.assertEqual([], self.front.service.puts)


class OperationsTest(_FrontEndTest):
    """Status, time line, checks and routing errors."""

    def test_operator_calls_need_the_operator_role(self) -> None:
        """Guards against callers that read or write as operators."""
        for path in ("/v1/status", "/v1/timeline", "/v1/documents", _DOCUMENT,
                     f"{_DOCUMENT}/status"):  # fmt: skip
            self.assertEqual(200, self._call("GET", path, OPERATOR).status)
            self.assertEqual(403, self._call("GET", path, CALLER).status)
            reply = self._call("GET", path, None)
            self._assert_error(401, "unauthorized", reply)
            self.assertEqual("Bearer", reply.headers["www-authenticate"])

    def test_timeline(self) -> None:
        """Guards against events without a comparable time."""
        reply = self._call("GET", "/v1/timeline?since_s=60", OPERATOR)
        self.assertEqual(
            ("e1", 60.0), (reply.json["entry"], reply.json["now"])
        )
        self.assertEqual("worker.owned", reply.json["events"][0]["kind"])
        for value in ("-1", "nan", "x"):
            path = f"/v1/timeline?since_s={value}"
            reply = self._call("GET", path, OPERATOR)
            self._assert_error(400, "bad-since", reply)

    def test_readiness_follows_the_service(self) -> None:
        """Guards against a load balancer that sends to a draining entry."""
        self.assertEqual(200, self._call("GET", "/readyz", None).status)
        self.front.service.is_ready = False
        self.assertEqual(503, self._call("GET", "/readyz", None).status)
        self.assertEqual(200, self._call("GET", "/healthz", None).status)

    def test_unknown_paths_and_methods(self) -> None:
        """Guards against errors that are not JSON."""
        for path in ("/", "/v1/jobs", "/v1/jobs/a/b", f"{_JOB}/"):
            self._assert_error(404, "not-found", self._call("GET", path))
        reply = self._call("POST", _DOCUMENT)
        self._assert_error(405, "method-not-allowed", reply)
        self.assertEqual(
            {"GET", "HEAD", "PUT"}, set(reply.headers["allow"].split(", "))
        )
