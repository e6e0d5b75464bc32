"""Reads the ledgers of workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from tools.ledger import Ledger

if TYPE_CHECKING:
    from collections.abc import Mapping

    from result import Result

    from tools.http_caller import HttpCaller

_READ_TIMEOUT_S = 10.0


async def read_ledgers(
    caller: HttpCaller, workers: Mapping[str, str]
) -> Result[list[Ledger], str]:
    """Read the ledger of each worker.

    :param caller: sends the calls
    :param workers: base URL of each worker by name
    :returns: the ledgers, or an error message that names the worker
    """
    ledgers = []
    for name, url in workers.items():
        result = await caller.get(f"{url}/ledger", {}, _READ_TIMEOUT_S)
        if isinstance(result, Err) or result.ok_value.status != 200:
            return Err(f"the ledger of worker {name} cannot be read")
        ledgers.append(Ledger.model_validate_json(result.ok_value.body))
    return Ok(ledgers)
