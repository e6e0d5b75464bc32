"""Writes the table rows of a scenario to the stand-in platform."""

from __future__ import annotations

import asyncio
import time
from time import monotonic
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.adapters.platform_http.table_service import HttpTableService
from carawaystep.settings.entry_settings import PlatformSettings
from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from carawaystep.store.operation import PutRow
    from tools.capacity.scenario import Scenario
    from tools.capacity.simulated_deployment import SimulatedDeployment

_ROWS_PER_TRANSACTION = 100
_HEARTBEAT_INTERVAL_S = 2.0
# Longer than the measurement, so that tasks run through all of it.
_LONG_JOB_RUN_S = 600.0
_SHORT_JOB_RUN_S = 0.5


class ScenarioRows:
    """Inserts documents, jobs and heartbeat rows of the other entries."""

    def __init__(
        self,
        scenario: Scenario,
        deployment: SimulatedDeployment,
        platform_port: int,
    ) -> None:
        """Create a writer; nothing is written yet.

        :param scenario: numbers and rates of the rows
        :param deployment: creates the rows
        :param platform_port: port of the stand-in platform
        """
        self._scenario = scenario
        self._deployment = deployment
        self._table = HttpTableService(
            PlatformSettings(url=f"http://{LOOPBACK_HOST}:{platform_port}")
        )

    async def insert_initial(self, peer_ports: Mapping[str, int]) -> None:
        """Write the rows that the measured entry finds at its start.

        :param peer_ports: port of each peer that has a link
        """
        scenario, deployment = self._scenario, self._deployment
        now = time.time()
        await self._write(
            [
                deployment.document_row(index)
                for index in range(scenario.documents)
            ]
            + [
                deployment.job_row(f"queued-{index}", _LONG_JOB_RUN_S, now)
                for index in range(scenario.jobs + scenario.running)
            ]
        )
        await self._write_heartbeats(peer_ports, 1)

    async def renew_heartbeats(self, peer_ports: Mapping[str, int]) -> None:
        """Write the heartbeat rows again and again until cancelled.

        :param peer_ports: port of each peer that has a link
        """
        heartbeat_number = 1
        while True:
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)
            heartbeat_number += 1
            await self._write_heartbeats(peer_ports, heartbeat_number)

    async def insert_jobs(self) -> None:
        """Insert short jobs at the rate of the scenario until cancelled."""
        start, number = monotonic(), 0
        while self._scenario.starts_per_s > 0:
            number += 1
            row = self._deployment.job_row(
                f"short-{number}", _SHORT_JOB_RUN_S, time.time()
            )
            await self._write([row])
            next_at = start + number / self._scenario.starts_per_s
            await asyncio.sleep(max(0.0, next_at - monotonic()))

    async def change_documents(self) -> None:
        """Write documents at the rate of the scenario until cancelled."""
        revision = 0
        while self._scenario.document_changes_per_s > 0:
            revision += 1
            number = revision % max(1, self._scenario.documents)
            await self._write(
                [self._deployment.document_row(number, revision)]
            )
            await asyncio.sleep(1 / self._scenario.document_changes_per_s)

    async def close(self) -> None:
        """Close the connection to the platform."""
        await self._table.close()

    async def _write_heartbeats(
        self, peer_ports: Mapping[str, int], heartbeat_number: int
    ) -> None:
        await self._write(
            [
                self._deployment.entry_row(
                    name, peer_ports.get(name), heartbeat_number
                )
                for name in self._deployment.peers
            ]
        )

    async def _write(self, rows: Sequence[PutRow]) -> None:
        for first in range(0, len(rows), _ROWS_PER_TRANSACTION):
            written = await self._table.transact(
                rows[first : first + _ROWS_PER_TRANSACTION]
            )
            if not isinstance(written, Ok):
                raise RuntimeError(
                    f"rows were not written: {written.err_value}"
                )
