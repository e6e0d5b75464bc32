"""Archive of the ledgers of killed worker processes."""

from __future__ import annotations

import asyncio
import json
from time import monotonic
from typing import TYPE_CHECKING

from result import Ok

from carawaystep.worker.execution_end import ExecutionEnd
from tools.ledger_reader import read_ledgers

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

    from tools.http_caller import HttpCaller
    from tools.ledger import Execution
    from tools.ledger import Ledger

_CALL_TIMEOUT_S = 5.0
_FREEZE_S = 30.0
# Running requests end within this time, so that the ledger changes no more.
_LEDGER_SETTLE_S = 1.0
_LOST = "lost"


class LedgerArchive:
    """Saves the ledgers of workers just before their process is killed.

    The workers are frozen first: they then start nothing and answer nothing,
    so that entries and callers learn of nothing that the ledgers lack.
    """

    def __init__(self, caller: HttpCaller) -> None:
        """Create an empty archive.

        :param caller: sends the calls
        """
        self._caller = caller
        self._ledgers: list[Ledger] = []

    @property
    def ledgers(self) -> tuple[Ledger, ...]:
        """Return the ledgers of all killed workers."""
        return tuple(self._ledgers)

    async def freeze_and_save(self, workers: Mapping[str, str]) -> str | None:
        """Freeze workers and save their ledgers.

        :param workers: base URL of each worker
        :returns: description of a failure, None when all ledgers are saved
        """
        frozen_at = monotonic()
        unacknowledged_ends = await asyncio.gather(
            *(self._freeze_worker(url) for url in workers.values())
        )
        await asyncio.sleep(_LEDGER_SETTLE_S)
        read = await read_ledgers(self._caller, workers)
        if not isinstance(read, Ok):
            return read.err_value
        now = monotonic()
        for ledger, ends in zip(
            read.ok_value, unacknowledged_ends, strict=True
        ):
            executions = [
                self._finalize(execution, ends, frozen_at, now)
                for execution in ledger.executions
            ]
            self._ledgers.append(
                ledger.model_copy(update={"executions": executions})
            )
        return None

    async def _freeze_worker(self, url: str) -> set[tuple[str, int]]:
        """Freeze a worker; return the ends that no owner has acknowledged.

        Each end is given as the id of a task and the number of its attempt.
        """
        await self._post(f"{url}/faults", {})
        result = await self._caller.get(
            f"{url}/v1/report?since=0&wait_s=0", {}, _CALL_TIMEOUT_S
        )
        await self._post(f"{url}/faults", {"freeze_s": _FREEZE_S})
        if not isinstance(result, Ok) or result.ok_value.status != 200:
            return set()
        ended = result.ok_value.json()["ended"]
        return {(end["id"], end["attempt"]) for end in ended}

    async def _post(self, url: str, body: dict[str, Any]) -> None:
        await self._caller.post(
            url, {}, json.dumps(body).encode(), _CALL_TIMEOUT_S
        )

    @staticmethod
    def _finalize(
        execution: Execution,
        unacknowledged_ends: set[tuple[str, int]],
        frozen_at: float,
        now: float,
    ) -> Execution:
        """Return an execution with its final outcome after the kill.

        An execution that still ran is lost. So is a task whose end no owner
        can have stored, since it has to run again.
        """
        if execution.end is None:
            return execution.model_copy(update={"end": now, "how": _LOST})
        if execution.kind == "task" and execution.how == ExecutionEnd.DONE:
            attempt = (execution.id, execution.attempt)
            if attempt in unacknowledged_ends or execution.end >= frozen_at:
                return execution.model_copy(update={"how": _LOST})
        return execution
