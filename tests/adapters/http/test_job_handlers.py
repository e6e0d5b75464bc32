"""Tests of the handlers of jobs."""

from __future__ import annotations

from carawaystep.entry.call_failure import CallFailure
from carawaystep.entry.call_failure import CallFailureCode
from carawaystep.errors.broken_invariant import BrokenInvariant
from tests.adapters.http.fake_entry_service import JOB_ID
from tests.adapters.http.front_end import CALLER
from tests.adapters.http.front_end import OPERATOR
from tests.adapters.http.front_end import OTHER_SERVICE_CALLER
from tests.adapters.http.front_end_test_case import FrontEndTestCase

_JOBS = "/v1/services/routes/jobs"
_JOB = f"/v1/jobs/{JOB_ID}"


class JobsTest(FrontEndTestCase):
    """Tests submission, lookup and cancellation of jobs."""

    def test_job_is_accepted_with_its_values(self) -> None:
        """Guards against a lost key, input or due time."""
        reply = self.call(
            "POST", _JOBS, CALLER, b'{"input": {"a": [1, null]}, "due_s": 9}',
            ("Idempotency-Key", "k1"),
        )  # fmt: skip
        self.assertEqual(202, reply.status)
        self.assertEqual({"id": JOB_ID, "state": "queued"}, reply.json)
        [call] = self.front_end.service.submitted_jobs
        self.assertEqual(
            ("routes", "k1", '{"a":[1,null]}', 9.0, None),
            (call.service, call.idempotency_key, call.input, call.due_s,
             call.run_s),
        )  # fmt: skip

    def test_invalid_bodies_are_refused(self) -> None:
        """Guards against jobs that cannot be stored or run."""
        for body in (
            b"", b"{", b"[]", b"{}", b"\xff", b'{"input": 1, "other": 2}',
            b'{"input": NaN}', b'{"input": 1e999}', b'{"input": "\\ud800"}',
            b'{"input": 1, "due_s": 0}', b'{"input": 1, "due_s": "5"}',
            b'{"input": 1, "run_s": 1e999}',
            b'{"input": 1' + b"0" * 5000 + b"}",
            b'{"input":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        ):  # fmt: skip
            reply = self.call("POST", _JOBS, CALLER, body)
            self.assert_error(400, "invalid", reply)
        self.assertEqual([], self.front_end.service.submitted_jobs)

    def test_invalid_submissions_are_refused(self) -> None:
        """Guards against jobs of a wrong service, type, size or caller."""
        body = b'{"input": 1}'
        call = self.call
        other_kind_path = "/v1/services/bookings/jobs"
        self.assert_error(
            404, "wrong-kind", call("POST", other_kind_path, CALLER, body)
        )
        too_large = b'"' + b"x" * 262_144 + b'"'
        self.assert_error(
            413, "body-too-large", call("POST", _JOBS, CALLER, too_large)
        )
        wrong_type = ("Content-Type", "text/plain")
        self.assert_error(
            415, "unsupported-content-type",
            call("POST", _JOBS, CALLER, body, wrong_type),
        )  # fmt: skip
        for token in (OPERATOR, OTHER_SERVICE_CALLER):
            self.assert_error(
                403, "forbidden", call("POST", _JOBS, token, body)
            )
        self.front_end.service.is_ready = False
        self.assert_error(503, "not-ready", call("POST", _JOBS, CALLER, body))
        self.assertEqual([], self.front_end.service.submitted_jobs)

    def test_lookup_and_cancellation(self) -> None:
        """Guards against cancelling a job of another service."""
        self.assertEqual("queued", self.call("GET", _JOB).json["state"])
        for token in (OTHER_SERVICE_CALLER, "unknown-token-000"):
            self.assertIn(self.call("DELETE", _JOB, token).status, (401, 404))
        invalid_id = self.call("DELETE", "/v1/jobs/..%2Fowners")
        self.assert_error(404, "not-found", invalid_id)
        self.assertEqual([], self.front_end.service.cancelled_job_ids)
        self.assertEqual(202, self.call("DELETE", _JOB).status)
        self.assertEqual([JOB_ID], self.front_end.service.cancelled_job_ids)

    def test_failures_have_their_statuses(self) -> None:
        """Guards against an unknown outcome reported as a refusal."""
        for code, status in (
            (CallFailureCode.PLATFORM_UNAVAILABLE, 503),
            (CallFailureCode.UNKNOWN, 502),
        ):
            self.front_end.service.failure = CallFailure(code, "d")
            reply = self.call("POST", _JOBS, CALLER, b'{"input": 1}')
            self.assert_error(status, str(code), reply)
            self.assertEqual(status == 503, "retry-after" in reply.headers)

    def test_broken_invariant_of_a_job_call_is_reported(self) -> None:
        """Guards against a broken invariant that is not reported."""
        self.front_end.service.error = BrokenInvariant("twice")
        self.assert_error(500, "internal", self.call("GET", _JOB))
        self.assertEqual(
            [self.front_end.service.error], self.front_end.broken_invariants
        )
