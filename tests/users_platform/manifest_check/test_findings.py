"""Tests of the findings about small manifests."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

from testtools import TestCase

from carawaystep.configuration_check.finding_code import FindingCode
from tests.configuration_check.test_service_documents import DOCUMENT_CODES
from tests.users_platform.manifest_check.manifests import check
from tests.users_platform.manifest_check.manifests import FLEET
from tests.users_platform.manifest_check.manifests import make_manifest
from tests.users_platform.manifest_check.manifests import make_route
from tests.users_platform.manifest_check.manifests import make_sample
from tests.users_platform.manifest_check.manifests import TICKETS

_PAGE = Path(__file__).parents[3] / "docs" / "operators" / "check.md"


@dataclass(frozen=True)
class _Case:
    """A manifest with a finding, and the same one without.

    :param found: code, severity and path of each finding
    :param manifest: manifest with the findings
    :param mended: manifest without them
    :param files: files that both are checked with
    :param mended_files: those of the mended manifest where they differ
    """

    found: str
    manifest: Any
    mended: Any = field(default_factory=make_manifest)
    files: dict[str, Any] = field(default_factory=dict)
    mended_files: dict[str, Any] = field(default_factory=dict)


def _route_case(found: str, **fields: Any) -> _Case:
    return _Case(found, make_manifest(make_route(**fields)))


def _change_case(found: str, before: Any, after: Any) -> _Case:
    """Return a case whose mended form changes nothing but the version."""
    return _Case(
        found,
        {**after, "version": 4},
        {**before, "version": 4},
        {"in_force": before},
    )


_TWO = make_manifest(make_route(), make_route(2))
_WITH_TICKETS = make_manifest(make_route(recommendation=TICKETS))
_OTHER_SERVICE = make_manifest(
    make_route(service="other"),
    services=[{"name": "desk"}, {"name": "other"}],
)
_BOTH_SERVICES = make_manifest(services=[{"name": "desk"}, {"name": "other"}])
_CASES = (
    _Case("not-json error line 2, column 13", '{"version": 1,\n "routes": [}'),
    _Case("wrong-type error top level", []),
    _Case("missing-field error routes", {"version": 3}),
    _route_case("wrong-type error routes[0].host", host=5),
    _route_case("wrong-type error routes[0].max_attempts", max_attempts=True),
    _route_case("wrong-type error routes[0].timeout_ms", timeout_ms="3 s"),
    _route_case("out-of-range error routes[0].stretch", stretch=-0.5),
    _Case("out-of-range error version", make_manifest(version=-1)),
    _Case(
        "duplicate-route error routes[1].name",
        make_manifest(make_route(), make_route(2, name="r-1")),
        _TWO,
    ),
    _Case(
        "duplicate-service error services[1].name",
        make_manifest(services=[{"name": "desk"}, {"name": "desk"}]),
    ),
    _route_case("unknown-service error routes[0].service", service="dekk"),
    _Case(
        "version-not-raised error version",
        make_manifest(),
        make_manifest(version=4),
        {"in_force": make_manifest()},
    ),
    _Case(
        "shadowed-route warning routes[1].path_prefix",
        make_manifest(
            make_route(),
            make_route(2, host="DESK.example", path_prefix="/bookings/"),
        ),
        _TWO,
    ),
    _Case(
        "shadowed-route warning routes[0].path_prefix",
        make_manifest(
            make_route(path_prefix=""), make_route(2, path_prefix="/")
        ),
        _TWO,
    ),
    _route_case(
        "unreachable-host warning routes[0].host", host="desk.example:80"
    ),
    _route_case(
        "unreachable-prefix warning routes[0].path_prefix",
        path_prefix="bookings/",
    ),
    _route_case(
        "unreachable-prefix warning routes[0].path_prefix",
        path_prefix="/bookings/?id=",
    ),
    _Case(
        "service-without-workers warning routes[0].service",
        _OTHER_SERVICE,
        files={"fleet": FLEET},
    ),
    _Case(
        "label-without-workers warning"
        " samples[0].submission.steps[0].constraints",
        make_manifest(),
        files={"fleet": FLEET, "samples": make_sample(constraints="c")},
        mended_files={"samples": make_sample(constraints="b")},
    ),
    _Case(
        "size-without-workers warning samples[0].submission.steps[0].cpu",
        make_manifest(),
        files={"fleet": FLEET, "samples": make_sample(cpu=4001)},
        mended_files={"samples": make_sample(cpu=4001, fills=True)},
    ),
    _route_case(
        "objective-over-timeout warning routes[0].target_duration_ms",
        target_duration_ms=3001,
    ),
    _Case(
        "ticket-too-short error routes[0].recommendation.validity_ms",
        make_manifest(
            make_route(recommendation={**TICKETS, "validity_ms": 25})
        ),
        _WITH_TICKETS,
    ),
    _route_case("no-attempts warning routes[0].max_attempts", max_attempts=0),
    _Case(
        "body-limit-too-small error limits.max_body_bytes",
        make_manifest(limits={"max_body_bytes": 32}),
        make_manifest(limits={"max_body_bytes": 33}),
    ),
    _route_case("stretch-below-one warning routes[0].stretch", stretch=0.99),
    _route_case(
        "stretch-below-one warning routes[0].stretch,"
        " unmeetable-deadline warning routes[0].target_duration_ms",
        stretch=0.5,
        target_duration_ms=0,
    ),
    _Case(
        "stretch-below-one warning routes[0].stretch, unmeetable-deadline"
        " warning samples[0].submission.steps",
        make_manifest(make_route(stretch=0.5)),
        files={"samples": make_sample(estimated_ms=501)},
    ),
    _Case(
        "invalid-work error samples[0].queue",
        make_manifest(make_route(2)),
        files={"samples": make_sample()},
    ),
    _Case(
        "invalid-work error samples[0].submission",
        make_manifest(),
        files={"samples": make_sample(count=0)},
        mended_files={"samples": make_sample()},
    ),
    _change_case("route-added notice routes[1]", make_manifest(), _TWO),
    _change_case(
        "route-removed warning in force: routes[1]", _TWO, make_manifest()
    ),
    _change_case(
        "route-moved warning routes[0].host",
        make_manifest(),
        make_manifest(make_route(host="new.example")),
    ),
    _change_case(
        "service-changed warning routes[0].service",
        _BOTH_SERVICES,
        _OTHER_SERVICE,
    ),
    _change_case(
        "attempts-reduced warning routes[0].max_attempts",
        make_manifest(),
        make_manifest(make_route(max_attempts=2)),
    ),
    _change_case(
        "tickets-changed warning routes[0].recommendation",
        make_manifest(),
        _WITH_TICKETS,
    ),
    _change_case(
        "tickets-changed warning routes[0].recommendation",
        _WITH_TICKETS,
        make_manifest(),
    ),
    _change_case(
        "route-changed notice routes[0].priority, route-changed notice"
        " routes[0].max_attempts, route-changed notice routes[0].stretch,"
        " route-changed notice routes[0].target_duration_ms, route-changed"
        " notice routes[0].timeout_ms",
        make_manifest(),
        make_manifest(
            make_route(
                priority=1,
                max_attempts=4,
                stretch=2,
                target_duration_ms=300,
                timeout_ms=4000,
            )
        ),
    ),
    _change_case(
        "route-changed notice routes[0].recommendation",
        _WITH_TICKETS,
        make_manifest(
            make_route(recommendation={**TICKETS, "decision_ms": 30})
        ),
    ),
    _change_case(
        "limit-changed notice limits.max_body_bytes, limit-changed notice"
        " limits.header_timeout_ms",
        make_manifest(),
        make_manifest(
            limits={"max_body_bytes": 300000, "header_timeout_ms": 2000}
        ),
    ),
    _change_case(
        "body-limit-lowered warning limits.max_body_bytes",
        make_manifest(),
        make_manifest(limits={"max_body_bytes": 1000}),
    ),
)


class FindingsTest(TestCase):
    """Each kind of finding on a manifest that is otherwise valid."""

    def test_findings_and_mended_manifests(self) -> None:
        """Guards against missed mistakes and against false findings."""
        for case in _CASES:
            with self.subTest(case.found):
                findings = check(case.manifest, **case.files)
                self.assertEqual(
                    case.found,
                    ", ".join(
                        f"{finding.code} {finding.severity} {finding.path}"
                        for finding in findings
                    ),
                )
                mended = check(case.mended, **case.files | case.mended_files)
                self.assertEqual((), mended)

    def test_each_code_has_a_case(self) -> None:
        """Guards against a kind of finding that no test produces."""
        found = " ".join(case.found for case in _CASES).split()
        expected = set(FindingCode) - DOCUMENT_CODES
        self.assertEqual([], sorted(expected - set(found)))

    def test_page_of_the_operators_has_each_code(self) -> None:
        """Guards against a finding that the operators' page leaves out."""
        page = _PAGE.read_text()
        missing = [code for code in FindingCode if f"`{code}`" not in page]
        self.assertEqual([], missing)

    def test_a_finding_is_one_line(self) -> None:
        """Guards against names that break lines or control a terminal."""
        route = make_route(service="a\nb\x1b[2J", name="é")
        (finding,) = check(make_manifest(route))
        self.assertIn('service "a\\nb\\x1b[2J" is not', str(finding))

    def test_odd_texts(self) -> None:
        """Guards against texts that end the check with an exception."""
        for text in (
            "[" * 20_000 + "]" * 20_000,
            f'{{"version": {"9" * 6000}}}',
            f'{{"version": {"9" * 400}, "routes": []}}',
            '{"version": 1e400}',
            '{"version": NaN}',
            '{"version": 1, "routes": [], "services": "\\ud800"}',
            "",
        ):
            findings = check(text)
            self.assertNotEqual((), findings)
            self.assertTrue(all(map(str, findings)))

    def test_all_invalid_fields_are_found_at_once(self) -> None:
        """Guards against a check that stops at the first invalid field."""
        findings = check({"version": "3", "routes": [{"name": 1}, None]})
        self.assertEqual(
            [
                "version",
                "routes[0].name",
                "routes[0].host",
                "routes[0].path_prefix",
                "routes[0].service",
                "routes[1]",
            ],
            [finding.path for finding in findings],
        )
