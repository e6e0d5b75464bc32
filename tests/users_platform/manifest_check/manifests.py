"""Manifests for the tests of the manifest check."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from result import Ok

from carawaystep_platform.manifest_check.manifest_checker import (
    ManifestChecker,
)
from carawaystep_platform.manifest_check.manifest_checker import ManifestTexts

if TYPE_CHECKING:
    from carawaystep.configuration_check.finding import Finding

TICKETS = {"decision_ms": 20, "period_ms": 5, "validity_ms": 4000}
_ROUTE: dict[str, Any] = {
    "name": "r-1",
    "host": "desk.example",
    "path_prefix": "/bookings/",
    "type": "non_idempotent",
    "timeout_ms": 3000,
    "target_duration_ms": 250,
    "priority": 0,
    "service": "desk",
    "max_attempts": 3,
    "stretch": 1.5,
}
_CAPACITY = {"cpu": 4000, "mem_mb": 4000, "gpu": 0}
FLEET = [
    {"service": "desk", "labels": ["a", "rack-1"], "capacity": _CAPACITY},
    {"service": "desk", "labels": ["b"], "capacity": _CAPACITY},
    {
        "service": "other",
        "labels": ["c"],
        "capacity": {**_CAPACITY, "cpu": 16000},
        "state": "draining",
    },
]


def make_route(number: int = 1, **fields: Any) -> dict[str, Any]:
    """Return a valid route with some fields replaced.

    :param number: number in the name and the path prefix
    """
    prefix = "/bookings/" if number == 1 else f"/bookings-{number}/"
    own = {"name": f"r-{number}", "path_prefix": prefix}
    return {**_ROUTE, **own, **fields}


def make_manifest(
    *routes: dict[str, Any], version: int = 3, **fields: Any
) -> dict[str, Any]:
    """Return a manifest with one valid route unless others are given."""
    return {
        "version": version,
        "routes": list(routes) or [make_route()],
        "services": [{"name": "desk"}],
        "limits": {"max_body_bytes": 262144, "header_timeout_ms": 3000},
        **fields,
    }


def make_sample(**step: Any) -> list[dict[str, Any]]:
    """Return sample submissions, one with one step."""
    submission = {"spec": "s", "steps": [{"count": 1, **step}]}
    return [{"queue": "r-1", "submission": submission}]


def check(manifest: Any, **files: Any) -> tuple[Finding, ...]:
    """Check a manifest.

    :param files: further contents, as those of ``ManifestTexts``
    """
    texts = {name: json.dumps(content) for name, content in files.items()}
    text = manifest if isinstance(manifest, str) else json.dumps(manifest)
    result = ManifestChecker().check(ManifestTexts(text, **texts))
    assert isinstance(result, Ok)
    return result.ok_value
