"""Tests of status, timeline, health checks and routing errors."""

from __future__ import annotations

from tests.adapters.http.fake_entry_service import JOB_ID
from tests.adapters.http.front_end import CALLER
from tests.adapters.http.front_end import OPERATOR
from tests.adapters.http.front_end_test_case import FrontEndTestCase

_JOB = f"/v1/jobs/{JOB_ID}"
_DOCUMENT = "/v1/documents/bookings"


class OperationsTest(FrontEndTestCase):
    """Tests status, timeline, health checks and routing errors."""

    def test_operator_calls_need_the_operator_role(self) -> None:
        """Guards against access to operator calls with the caller role."""
        for path in ("/v1/status", "/v1/timeline", "/v1/documents", _DOCUMENT,
                     f"{_DOCUMENT}/status"):  # fmt: skip
            self.assertEqual(200, self.call("GET", path, OPERATOR).status)
            self.assertEqual(403, self.call("GET", path, CALLER).status)
            reply = self.call("GET", path, None)
            self.assert_error(401, "unauthorized", reply)
            self.assertEqual("Bearer", reply.headers["www-authenticate"])

    def test_timeline_has_the_current_time(self) -> None:
        """Guards against events without a comparable time."""
        reply = self.call("GET", "/v1/timeline?since_s=60", OPERATOR)
        self.assertEqual(
            ("e1", 60.0), (reply.json["entry"], reply.json["now"])
        )
        self.assertEqual("worker.owned", reply.json["events"][0]["kind"])
        for value in ("-1", "nan", "x"):
            path = f"/v1/timeline?since_s={value}"
            reply = self.call("GET", path, OPERATOR)
            self.assert_error(400, "bad-since", reply)

    def test_readiness_follows_the_service(self) -> None:
        """Guards against a draining entry that still gets requests."""
        self.assertEqual(200, self.call("GET", "/readyz", None).status)
        self.front_end.service.is_ready = False
        self.assertEqual(503, self.call("GET", "/readyz", None).status)
        self.assertEqual(200, self.call("GET", "/healthz", None).status)

    def test_unknown_paths_and_methods(self) -> None:
        """Guards against errors that are not JSON."""
        for path in ("/", "/v1/jobs", "/v1/jobs/a/b", f"{_JOB}/"):
            self.assert_error(404, "not-found", self.call("GET", path))
        reply = self.call("POST", _DOCUMENT)
        self.assert_error(405, "method-not-allowed", reply)
        self.assertEqual(
            {"GET", "HEAD", "PUT"}, set(reply.headers["allow"].split(", "))
        )
