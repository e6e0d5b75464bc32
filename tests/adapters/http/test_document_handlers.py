"""Tests of the handlers of service documents."""

from __future__ import annotations

from tests.adapters.http.front_end import ADMIN
from tests.adapters.http.front_end import CALLER
from tests.adapters.http.front_end import OPERATOR
from tests.adapters.http.front_end_test_case import FrontEndTestCase

_DOCUMENT = "/v1/documents/bookings"


class DocumentsTest(FrontEndTestCase):
    """Tests reading and writing of documents."""

    def test_documents_are_read(self) -> None:
        """Guards against replies without a document, its version or status."""
        reply = self.call("GET", "/v1/documents", OPERATOR)
        self.assertEqual(
            ["bookings", "charges", "routes"],
            [document["service"] for document in reply.json["documents"]],
        )
        self.assertEqual(
            {"service": "bookings", "version": 3,
             "text": "service: bookings\n"},
            self.call("GET", _DOCUMENT, OPERATOR).json,
        )  # fmt: skip
        self.assertEqual(
            {"version": 3, "revision": 98, "entries": {"e1": 98},
             "in_force": True},
            self.call("GET", f"{_DOCUMENT}/status", OPERATOR).json,
        )  # fmt: skip
        missing = self.call("GET", "/v1/documents/none", OPERATOR)
        self.assert_error(404, "not-found", missing)

    def test_write_carries_version_and_team(self) -> None:
        """Guards against writes without the check of version or team."""
        path = f"{_DOCUMENT}?expected=3"
        reply = self.call("PUT", path, OPERATOR, "é: 1".encode())
        self.assertEqual({"version": 4, "revision": 99}, reply.json)
        self.call("PUT", path, ADMIN, b"a: 1")
        self.assertEqual(
            [("bookings", "é: 1", 3, "desk"), ("bookings", "a: 1", 3, None)],
            self.front_end.service.written_documents,
        )

    def test_conflict_reply_has_the_current_version(self) -> None:
        """Guards against a conflict reply without the current version.

        The operator could then not resolve the conflict.
        """
        reply = self.call("PUT", f"{_DOCUMENT}?expected=2", OPERATOR, b"a: 1")
        self.assert_error(409, "conflict", reply)
        self.assertEqual(0, reply.json["version"])

    def test_invalid_writes_are_refused(self) -> None:
        """Guards against malformed or unauthorized writes."""
        call = self.call
        write_path = f"{_DOCUMENT}?expected=3"
        for query in ("", "?expected=", "?expected=-1", "?expected=x",
                      "?expected=1&expected=2"):  # fmt: skip
            reply = call("PUT", _DOCUMENT + query, OPERATOR, b"a: 1")
            self.assert_error(400, "bad-expected", reply)
        self.assert_error(
            400, "invalid", call("PUT", write_path, ADMIN, b"\xff")
        )
        bad_name_path = "/v1/documents/Bad_Name?expected=0"
        self.assert_error(
            400, "invalid", call("PUT", bad_name_path, ADMIN, b"a: 1")
        )
        wrong_type = ("Content-Type", "application/x-www-form-urlencoded")
        self.assert_error(
            415, "unsupported-content-type",
            call("PUT", write_path, OPERATOR, b"a: 1", wrong_type),
        )  # fmt: skip
        too_large = b"#" * 262_145
        self.assert_error(
            413, "body-too-large", call("PUT", write_path, OPERATOR, too_large)
        )
        self.assert_error(
            403, "forbidden", call("PUT", write_path, CALLER, b"a: 1")
        )
        self.assertEqual([], self.front_end.service.written_documents)

    def test_team_cannot_take_over_a_service(self) -> None:
        """Guards against a document that names the operator's own team."""
        spec = self.front_end.service.specs["bookings"]
        other = type(spec)(
            **{name: getattr(spec, name) for name in spec.__slots__}
            | {"team": "pensions"}
        )
        self.front_end.service.specs["bookings"] = other
        path = f"{_DOCUMENT}?expected=3"
        reply = self.call("PUT", path, OPERATOR, b"team: desk")
        self.assert_error(403, "forbidden", reply)
        self.assertEqual([], self.front_end.service.written_documents)
