"""Tests of the manifest check with random manifests.

The check is compared with what the system does with the same manifest.
"""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from starlette.requests import Request
from testtools import TestCase

from carawaystep.configuration_check.finding_code import FindingCode
from carawaystep.configuration_check.severity import Severity
from carawaystep.routing.current_routes import CurrentRoutes
from carawaystep.store.row import Row
from carawaystep_platform.manifest_check.manifest_checker import (
    SMALLEST_SUBMISSION,
)
from carawaystep_platform.manifest_route_source import ManifestRouteSource
from carawaystep_platform.submissions import SubmissionReader
from tests.users_platform.manifest_check.manifests import check
from tests.users_platform.manifest_check.manifests import make_manifest
from tests.users_platform.manifest_check.manifests import make_route

if TYPE_CHECKING:
    from carawaystep.configuration_check.finding import Finding

_NEVER_MATCHING = (
    FindingCode.SHADOWED_ROUTE,
    FindingCode.UNREACHABLE_HOST,
    FindingCode.UNREACHABLE_PREFIX,
)
_SUBMISSION_ID = "5c0e7a21d94b36f8"

_junk = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=3),
    lambda inner: (
        strategies.lists(inner, max_size=2)
        | strategies.dictionaries(strategies.text(max_size=3), inner)
    ),
    max_leaves=3,
)
_fields = strategies.sampled_from(
    (
        "name",
        "host",
        "path_prefix",
        "service",
        "priority",
        "max_attempts",
        "stretch",
        "target_duration_ms",
        "timeout_ms",
        "recommendation",
    )
)
_odd_route = strategies.dictionaries(_fields, _junk, max_size=2).map(
    lambda fields: make_route(**fields)
)
_odd_manifest = _junk | strategies.builds(
    lambda routes, fields: {**make_manifest(), "routes": routes, **fields},
    strategies.lists(_odd_route | _junk, max_size=3) | _junk,
    strategies.dictionaries(
        strategies.sampled_from(("version", "limits", "services")),
        _junk,
        max_size=1,
    ),
)

_hosts = strategies.sampled_from(("a", "A", "b", "b:80"))
_prefixes = strategies.text("/x?#", max_size=4)
_addresses = strategies.lists(
    strategies.tuples(_hosts, _prefixes), min_size=1, max_size=8
)


def _errors(findings: tuple[Finding, ...]) -> list[Finding]:
    return [
        finding for finding in findings if finding.severity is Severity.ERROR
    ]


def _address_of_call(host: str, path: str) -> tuple[str, str]:
    """Return host and path as the front end takes them from a call."""
    request = Request(
        {
            "type": "http",
            "method": "GET",
            "scheme": "http",
            "server": ("front", 80),
            "path": path,
            "query_string": b"",
            "headers": [(b"host", host.encode())],
        }
    )
    called_host = request.headers["host"].partition(":")[0]
    return called_host, request.url.path


class RandomManifestsTest(TestCase):
    """Random manifests, valid and not."""

    @settings(deadline=None)
    @given(_odd_manifest)
    def test_system_reads_what_the_check_passes(self, manifest: Any) -> None:
        """Guards against a manifest that passes and is never in force."""
        errors = _errors(check(manifest))
        source = ManifestRouteSource()
        table = source.route_table_from_row(Row("config", manifest, 1, 1))
        if not errors:
            self.assertIsNotNone(table)
        if table is None:
            self.assertNotEqual([], errors)

    @settings(deadline=None)
    @given(
        strategies.integers(0, 3),
        strategies.integers(0, 3),
        strategies.integers(1, 2),
    )
    def test_system_applies_what_the_check_passes(
        self, version: int, in_force: int, route: int
    ) -> None:
        """Guards against a version that passes and is not applied."""
        before = make_manifest(make_route(), version=in_force)
        after = make_manifest(make_route(route), version=version)
        source = ManifestRouteSource()
        routes = CurrentRoutes()
        applied = False
        for manifest in (before, after):
            table = source.route_table_from_row(Row("config", manifest, 1, 1))
            assert table is not None
            applied = routes.apply(table)
        self.assertEqual(applied, not _errors(check(after, in_force=before)))

    @settings(deadline=None)
    @given(_addresses, strategies.lists(_prefixes, max_size=5))
    def test_router_never_returns_what_never_matches(
        self, addresses: list[tuple[str, str]], further_paths: list[str]
    ) -> None:
        """Guards against false findings about routes, and missed ones."""
        manifest = make_manifest(
            *(
                make_route(number, host=host, path_prefix=prefix)
                for number, (host, prefix) in enumerate(addresses)
            )
        )
        source = ManifestRouteSource()
        table = source.route_table_from_row(Row("config", manifest, 1, 1))
        assert table is not None
        prefixes = [prefix for _, prefix in addresses]
        returned = set()
        for host, _ in addresses:
            for path in (*prefixes, *further_paths):
                for called in (f"/{path}", path, path + _SUBMISSION_ID):
                    if not called.startswith("/"):
                        continue
                    route = table.resolve(*_address_of_call(host, called))
                    returned.add(route.name if route else "")
        silent = {
            finding.path.partition(".")[0]
            for finding in check(manifest)
            if finding.code in _NEVER_MATCHING
        }
        for number in range(len(addresses)):
            is_silent = f"routes[{number}]" in silent
            self.assertEqual(is_silent, f"r-{number}" not in returned)

    def test_smallest_submission_is_valid(self) -> None:
        """Guards against a limit that passes and refuses every submission.

        No field of the smallest submission can be left out.
        """
        table = ManifestRouteSource().route_table_from_row(
            Row("config", make_manifest(), 1, 1)
        )
        assert table is not None
        reader = SubmissionReader()
        smallest = json.loads(SMALLEST_SUBMISSION)
        without_text = {"steps": smallest["steps"]}
        for body, accepted in (
            (smallest, True),
            (without_text, False),
            ({**smallest, "steps": []}, False),
            ({**smallest, "steps": [{}]}, False),
        ):
            read = reader.read(
                _SUBMISSION_ID, table.routes[0], json.dumps(body).encode(), 0.0
            )
            self.assertEqual(accepted, read.is_ok())
