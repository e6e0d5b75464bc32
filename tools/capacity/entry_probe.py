"""Reads the state of the measured entry over HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.adapters.http_client.http_client import HttpClient
from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from tools.capacity.scenario import Scenario

_CALL_TIMEOUT_S = 5.0


class EntryProbe:
    """Compares the state of an entry with a scenario."""

    def __init__(self, port: int, token: str) -> None:
        """Create a probe.

        :param port: port of the entry's HTTP server
        :param token: token of an operator
        """
        self._url = f"http://{LOOPBACK_HOST}:{port}"
        self._headers = {"Authorization": f"Bearer {token}"}

    async def is_ready(self) -> bool:
        """Return whether the entry says that it is ready."""
        return (await self._get("/readyz"))[0] == 200

    async def has_state(self, scenario: Scenario, peers: int) -> bool:
        """Return whether the entry has the workers, tasks and jobs.

        :param scenario: sizes that it must have
        :param peers: number of peers that it must be connected to
        """
        code, body = await self._get("/v1/status")
        if code != 200:
            return False
        status = json.loads(body)
        usable = sum(worker["usable"] for worker in status["workers"])
        tasks = sum(worker["tasks"] for worker in status["workers"])
        connected = sum(peer["connected"] for peer in status["peers"])
        return (
            usable == scenario.workers
            and tasks >= scenario.running
            and status["jobs_known"] >= scenario.jobs
            and connected == peers
        )

    async def _get(self, path: str) -> tuple[int, bytes]:
        client = HttpClient(self._url, 1)
        answer = await client.request(
            "GET", path, _CALL_TIMEOUT_S, self._headers
        )
        await client.close()
        if not isinstance(answer, Ok):
            return 0, b""
        return answer.ok_value.status, answer.ok_value.body
