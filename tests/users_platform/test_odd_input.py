"""Tests of input that no honest writer would leave."""

from __future__ import annotations

import asyncio
from base64 import b64encode
import json
from pathlib import Path
import tempfile
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
from result import Err
from result import Ok
from testtools import TestCase

from carawaystep.leadership.leader_record import LeaderRecord
from carawaystep.leadership.member_record import MemberRecord
from carawaystep.routing.queue_route import QueueRoute
from carawaystep.store.row import Row
from carawaystep.validation.boundary_decoder import BoundaryDecoder
from carawaystep.workflow.workflow_record import WorkflowRecord
from carawaystep.workflow.workflow_spec import WorkflowSpec
from carawaystep_platform.bodies import AdviceResponse
from carawaystep_platform.bodies import HoldResponse
from carawaystep_platform.bodies import ManifestBody
from carawaystep_platform.bodies import OrderResponse
from carawaystep_platform.bodies import RowsResponse
from carawaystep_platform.bodies import SubmissionBody
from carawaystep_platform.bodies import WorkerRowBody
from carawaystep_platform.server_table import ServerTable
from carawaystep_platform.settings import load_settings
from carawaystep_platform.submissions import SubmissionReader
from tests.planner.planners import RecordingLog
from tests.users_platform.deployment import Deployment
from tests.users_platform.deployment import STORE_PARTITION
from tests.users_platform.scenario import run_scenario
from tests.users_platform.scenario import SUBMISSION_PATH
from tests.users_platform.scenario import wait_for_condition

_MODELS = (
    AdviceResponse,
    HoldResponse,
    LeaderRecord,
    ManifestBody,
    MemberRecord,
    OrderResponse,
    RowsResponse,
    SubmissionBody,
    WorkerRowBody,
    WorkflowRecord,
    WorkflowSpec,
    Any,
)
_ROUTE = QueueRoute("r-1", "desk.example", "/b/", "desk", 0, 3, 1.5, 0.25)
_DEEP = "[" * 20_000 + "]" * 20_000
_HUGE_NUMBER = "9" * 6000
_ODD_TEXTS = (
    _DEEP,
    f'{{"born": {_HUGE_NUMBER}}}',
    "{",
    "null",
    "[]",
    "5",
)
_WORKER = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "zone": "zone",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 12,
}
# Fields of a worker's row that make it describe no worker.
_ODD_FIELDS: tuple[dict[str, Any], ...] = (
    {"born": 10**30},
    {"born": -1},
    {"capacity": {"cpu": 10**18, "mem_mb": 1, "gpu": 0}},
    {"capacity": {"cpu": -5, "mem_mb": 1, "gpu": 0}},
    {"capacity": {"cpu": 1, "mem_mb": 10**12, "gpu": 0}},
    {"capacity": {"cpu": 1, "mem_mb": 1, "gpu": 10**9}},
    {"address": "nohost"},
    {"address": ":8080"},
    {"address": "x:-1"},
    {"address": "x:99999999"},
    {"address": "x:0"},
    {"address": "x:" + "9" * 5000},
    {"address": "x/y:80"},
    {"state": "retired"},
    {"labels": 5},
)
# One task fills a worker, so that two run on two workers.
_WIDE = {"spec": "", "steps": [{"count": 2, "cpu": 4000, "mem_mb": 100}]}
# What a step may not ask for; the caller gets an error.
_ODD_STEPS: tuple[dict[str, Any], ...] = (
    {"count": 10**30},
    {"count": 1, "cpu": 10**30},
    {"count": 1, "cpu": -1},
    {"count": 1, "mem_mb": 2**40},
    {"count": 1, "estimated_ms": -5},
    {"count": 1, "anti_affinity": -1},
    {"count": 1, "target_ms": 1e30},
)

_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda values: (
        strategies.lists(values)
        | strategies.dictionaries(strategies.text(), values)
    ),
)
_MODEL_NAMES = sorted(
    {
        field.encode_name
        for model in _MODELS
        if isinstance(model, type) and issubclass(model, msgspec.Struct)
        for field in msgspec.structs.fields(model)
    }
)


class BoundaryDecoderTest(TestCase):
    """Any input gives a value or a problem."""

    def test_input_that_breaks_parsers_is_a_problem(self) -> None:
        """Guards against a RecursionError that ends the leader's term."""
        nested = f'{{"unknown": {_DEEP}}}'
        for model in _MODELS:
            decoder: BoundaryDecoder[Any] = BoundaryDecoder(model)
            for data in (nested, "{", b"\xff", ""):
                self.assertIsInstance(decoder.decode(data), Err, str(model))
            decoder.decode(f'{{"unknown": {_HUGE_NUMBER}}}')

    @given(
        strategies.one_of(
            _JSON,
            strategies.dictionaries(
                strategies.sampled_from(_MODEL_NAMES), _JSON
            ),
        )
    )
    @settings(max_examples=200, deadline=None)
    def test_any_json_gives_a_value_or_a_problem(self, value: Any) -> None:
        """Guards against an exception that no reader of a table expects."""
        data = json.dumps(value).encode()
        for model in _MODELS:
            decoder: BoundaryDecoder[Any] = BoundaryDecoder(model)
            for result in (decoder.decode(data), decoder.convert(value)):
                self.assertIsInstance(result, Ok | Err)
                if isinstance(result, Ok) and model is not Any:
                    # Every accepted value can be sent to another process.
                    msgspec.msgpack.encode(result.ok_value)


class OddRowTest(TestCase):
    """Rows of other writers."""

    def test_odd_worker_is_left_out_and_logged_once(self) -> None:
        """Guards against a worker that attracts all tasks, and log floods."""
        log = RecordingLog()
        table = ServerTable(log)
        for number, odd in enumerate(_ODD_FIELDS):
            row = Row(f"i-{number}", {**_WORKER, **odd}, 5, 5)
            for _ in range(3):
                self.assertIsNone(table.record_from_row(row), str(odd))
        rejected = [("worker.rejected", f"i-{n}") for n in range(number + 1)]
        self.assertEqual(rejected, log.events)
        valid = Row("i-0", _WORKER, 6, 6)
        self.assertIsNotNone(table.record_from_row(valid))

    def test_odd_submission_is_refused_with_a_reason(self) -> None:
        """Guards against a number that no message between nodes can hold."""
        reader = SubmissionReader()
        bodies = [{"spec": "", "steps": [step]} for step in _ODD_STEPS]
        texts = [json.dumps(body) for body in bodies]
        texts.append(f'{{"spec": "", "steps": [], "x": {_DEEP}}}')
        for text in texts:
            result = reader.read("a" * 16, _ROUTE, text.encode(), 5.0)
            self.assertIsInstance(result, Err, text[:80])

    def test_odd_settings_are_a_problem(self) -> None:
        """Guards against a traceback instead of the name of the setting."""
        valid = (
            'node_name = "e"\nip = "10.1.0.1"\nzone = "z"\n'
            "port_range = [7720, 7735]\n"
            '[listen_addrs]\nfront = "10.1.0.1:8161"\n'
            'ready = "10.1.0.1:8167"\n'
            '[platform]\naddress = "10.1.0.1:8169"\n'
        )
        cases = {
            "port_range": valid.replace("7735", "99999"),
            "front": valid.replace("8161", "x"),
            "cores": valid + "[limits]\ncores = -1.0\n",
            "deep": f"deep = {'[' * 20_000}{']' * 20_000}\n{valid}",
        }
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "settings.toml"
            path.write_text(valid)
            self.assertIsInstance(load_settings(str(path)), Ok)
            for name, text in cases.items():
                path.write_text(text)
                self.assertIsInstance(load_settings(str(path)), Err, name)

    def test_deployment_goes_on_beside_odd_rows(self) -> None:
        """Guards against a leader that ends again and again.

        Every leader reads the same tables, so that one row would end all.
        """

        async def run(deployment: Deployment) -> None:
            added = deployment.workers[1]
            await deployment.store.delete("servers", added.name)
            elections = _count(deployment, "leader.elected")
            await _put_odd_rows(deployment)
            await asyncio.sleep(1.0)
            await deployment.register_worker(added)
            answer = await deployment.nodes[0].call(
                "POST", SUBMISSION_PATH, _WIDE
            )
            self.assertEqual(200, answer.status)
            await wait_for_condition(lambda: len(added.started) > 0, 3.0)
            self.assertEqual(elections, _count(deployment, "leader.elected"))

        deployment = run_scenario(run)
        for node in deployment.nodes:
            self.assertFalse(node.supervisor.has_broken_invariant)
        odd_workers = len(_ODD_FIELDS) + len(_ODD_TEXTS)
        self.assertEqual(odd_workers, _count(deployment, "worker.rejected"))
        self.assertGreater(_count(deployment, "member.rejected"), 0)


def _count(deployment: Deployment, event: str) -> int:
    return sum(
        name == event
        for node in deployment.nodes
        for name, _ in node.log.events
    )


async def _put_odd_rows(deployment: Deployment) -> None:
    texts = [json.dumps({**_WORKER, **odd}) for odd in _ODD_FIELDS]
    texts += _ODD_TEXTS
    for number, text in enumerate(texts):
        value = b64encode(text.encode()).decode()
        await deployment.store.put("servers", f"odd-{number}", value)
        await deployment.store.put("op", f"odd-{number}", value)
        for table in ("members", "submissions", "cancels"):
            await deployment.store.put(
                table, f"odd-{number}", value, STORE_PARTITION
            )
    members = [
        {"address": "tcp://nohost", "cores": 1.0},
        {"address": "nowhere:1", "cores": 1.0},
        {"address": "tcp://127.0.0.1:1", "cores": 0.0},
        {"address": "tcp://127.0.0.1:99999", "cores": 1.0},
    ]
    for number, fields in enumerate(members):
        key = f"odd-member-{number}"
        value = {"name": key, "availability_zone": "zone", **fields}
        encoded = b64encode(json.dumps(value).encode()).decode()
        await deployment.store.put("members", key, encoded, STORE_PARTITION)
