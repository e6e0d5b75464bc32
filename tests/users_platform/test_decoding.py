"""Tests of decoding the platform's bodies, rows and settings."""

from __future__ import annotations

import json
from pathlib import Path
import tempfile

from result import Err
from result import Ok
from testtools import TestCase

from carawaystep.availability_zone.evacuation_request import EvacuationRequest
from carawaystep.fleet.worker_key import WorkerKey
from carawaystep.routing.queue_route import QueueRoute
from carawaystep.store.row import Row
from carawaystep_platform.evacuation_rows import EvacuationRows
from carawaystep_platform.manifest_route_source import ManifestRouteSource
from carawaystep_platform.server_table import ServerTable
from carawaystep_platform.settings import load_settings
from carawaystep_platform.submissions import SubmissionReader
from carawaystep_platform.task_names import parse_task_name
from carawaystep_platform.task_names import task_name
from tests.planner.planners import RecordingLog
from tests.users_platform.deployment import MANIFEST

_ROUTE = QueueRoute("r-1", "desk.example", "/b/", "desk", 0, 3, 1.5, 0.25)

_WORKER = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "zone": "chaguanas",
    "state": "draining",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 12,
    "cold_remaining_ms": 2500,
}

_SETTINGS = """
node_name = "edge-1"
ip = "10.1.0.13"
zone = "chaguanas"
port_range = [7720, 7735]
unknown = true
[listen_addrs]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
[limits]
cpu_quota = 0.5
cores = 2
[bounds]
grace_s = 6
max_hold_ms = 10000
[platform]
address = "10.200.1.7:8169"
"""


class DecodingTest(TestCase):
    """Fields keep their meaning, and invalid input is rejected."""

    def _read(self, body: object) -> object:
        reader = SubmissionReader()
        return reader.read("a" * 16, _ROUTE, json.dumps(body).encode(), 5.0)

    def test_task_names_round_trip(self) -> None:
        """Guards against an end of a run that is recorded for another task."""
        ref = parse_task_name("5c0e7a21d94b36f8.0.1.17")
        self.assertEqual((0, 1, 17), ref[1:])
        self.assertEqual("5c0e7a21d94b36f8.0.1.17", task_name(ref))

    def test_step_fields_are_converted(self) -> None:
        """Guards against a field that is decoded as another one."""
        step = {
            "count": 4,
            "cpu": 500,
            "mem_mb": 256,
            "estimated_ms": 900,
            "affinity": "r1-3",
            "anti_affinity": 2,
            "constraints": "a",
            "max_unavailable": 1,
            "target_ms": 150,
            "image": "x",
        }
        result = self._read({"spec": "s", "steps": [step]})
        assert isinstance(result, Ok)
        spec = result.ok_value.steps[0]
        self.assertEqual(
            (0.9, "r1-3", 2, "a"),
            (spec.estimated_s, spec.rack, spec.max_per_worker, spec.label),
        )
        self.assertEqual(1, result.ok_value.occurrences)
        self.assertFalse(result.ok_value.scheduled)

    def test_invalid_submissions_are_rejected(self) -> None:
        """Guards against cyclic steps, steps without tasks and wrong types."""
        for body in (
            [],
            {"spec": "s", "steps": []},
            {"spec": "s", "steps": [{"count": 0}]},
            {"spec": "s", "steps": [{"count": 1, "after": [0]}]},
            {"spec": "s", "steps": [{"count": "1"}]},
            {"spec": "s", "steps": [{"count": 9000}]},
        ):
            self.assertIsInstance(self._read(body), Err)

    def test_submissions_that_no_row_holds_are_rejected(self) -> None:
        """Guards against a commit of the leader that can never succeed.

        The store limits rows to 64 KiB. A leader repeats a commit until it
        is stored, and nothing else is stored meanwhile.
        """
        text = "s" * 4000
        for steps, accepted in (
            ([{"count": 1}] * 150, True),
            ([{"count": 1}] * 250, False),
            ([{"count": 800}], True),
            ([{"count": 1000}], False),
        ):
            result = self._read({"spec": text, "steps": steps})
            self.assertEqual(accepted, isinstance(result, Ok))

    def test_invalid_worker_rows_are_skipped(self) -> None:
        """Guards against starts on a worker with an invalid row."""
        rows = ServerTable(RecordingLog())
        record = rows.record_from_row(Row("i-1", _WORKER, 1, 1))
        assert record is not None
        self.assertEqual(WorkerKey("i-1", 12), record.key)
        self.assertEqual("r1-3", record.rack)
        self.assertEqual(2.5, record.cold_s)
        self.assertTrue(record.draining)
        for broken in (
            {},
            {**_WORKER, "state": "asleep"},
            {**_WORKER, "address": 5},
            {**_WORKER, "capacity": "large"},
        ):
            self.assertIsNone(rows.record_from_row(Row("i-1", broken, 1, 1)))

    def test_invalid_manifest_returns_no_routes(self) -> None:
        """Guards against routes from a row that is not a valid manifest."""
        manifest = ManifestRouteSource()
        table = manifest.route_table_from_row(Row("config", MANIFEST, 1, 1))
        assert table is not None
        self.assertEqual(3, table.version)
        route = table.resolve("DESK.example", "/bookings/abc")
        assert route is not None
        self.assertEqual(0.25, route.objective_s)
        self.assertIsNone(table.resolve("desk.example", "/other"))
        self.assertIsNone(
            manifest.route_table_from_row(Row("config", {"version": 1}, 1, 1))
        )

    def test_rows_that_ask_for_evacuations_are_found_by_their_keys(
        self,
    ) -> None:
        """Guards against a zone that gets work because of a row's value."""
        rows = EvacuationRows()
        for key in ("config", "evacuate/", "evacuate", "wave/evacuate/a"):
            self.assertIsNone(rows.request_from_row(Row(key, {}, 1, 1)))
        for value in ({}, [1], "north"):
            request = rows.request_from_row(Row("evacuate/a/b", value, 1, 7))
            self.assertEqual(EvacuationRequest("a/b", 7), request)
        removed = rows.request_from_row(Row("evacuate/a", None, 8, 8))
        assert removed is not None
        self.assertTrue(removed.withdrawn)

    def test_settings_are_validated(self) -> None:
        """Guards against wrong units and a start with invalid settings."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "local.toml"
            path.write_text(_SETTINGS)
            result = load_settings(str(path))
            assert isinstance(result, Ok)
            settings = result.ok_value
            self.assertEqual(1.0, settings.node.cores)
            self.assertEqual(10.0, settings.node.max_lease_s)
            self.assertFalse(settings.node.evacuation_in_force)
            bound = "evacuate_ms = 5000\n[platform]"
            path.write_text(_SETTINGS.replace("[platform]", bound))
            settings = load_settings(str(path)).unwrap()
            self.assertTrue(settings.node.evacuation_in_force)
            self.assertEqual("10.1.0.13:7735", settings.metrics_address)
            path.write_text(_SETTINGS.replace("[7720, 7735]", '"many"'))
            self.assertIsInstance(load_settings(str(path)), Err)
            path.write_text("node_name = ")
            self.assertIsInstance(load_settings(str(path)), Err)
        self.assertIsInstance(load_settings("/absent/file"), Err)
