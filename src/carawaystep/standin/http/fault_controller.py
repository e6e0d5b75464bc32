"""Replacement of a stand-in's faults and delay of its calls."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from starlette.responses import JSONResponse

from carawaystep.standin.http.fault_body import FaultBody

if TYPE_CHECKING:
    from starlette.requests import Request

    from carawaystep.standin.active_faults import ActiveFaults
    from carawaystep.standin.http.change_notifier import ChangeNotifier


class FaultController:
    """Replaces the faults of a stand-in and delays calls as they require.

    A call that waits for the end of a freeze continues as soon as the faults
    are replaced.
    """

    def __init__(
        self, faults: ActiveFaults, faults_replaced: ChangeNotifier
    ) -> None:
        """Create the controller.

        :param faults: faults of the stand-in
        :param faults_replaced: notified after the faults were replaced
        """
        self._faults = faults
        self._faults_replaced = faults_replaced

    @property
    def faults(self) -> ActiveFaults:
        """Return the faults."""
        return self._faults

    async def replace_faults(self, request: Request) -> JSONResponse:
        """Handle the request that replaces all faults."""
        body = FaultBody.model_validate_json(await request.body())
        now = asyncio.get_running_loop().time()
        self._faults.replace(body.to_faults(), now)
        self._faults_replaced.notify()
        return JSONResponse({})

    async def delay_call(self) -> None:
        """Wait for the one-way delay and then for the end of a freeze."""
        loop = asyncio.get_running_loop()
        if self._faults.one_way_delay_s > 0:
            await asyncio.sleep(self._faults.one_way_delay_s)
        while (
            remaining_freeze_s := self._faults.remaining_freeze_s(loop.time())
        ) > 0:
            await self._faults_replaced.wait_until(
                loop.time() + remaining_freeze_s
            )
