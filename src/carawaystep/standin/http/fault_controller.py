"""Switches faults while calls wait in them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from starlette.responses import JSONResponse

from carawaystep.standin.http.fault_body import FaultBody

if TYPE_CHECKING:
    from starlette.requests import Request

    from carawaystep.standin.active_faults import FaultPlan
    from carawaystep.standin.http.change_notifier import Signal


class FaultSwitch:
    """The fault plan of a stand-in and the calls that it holds up."""

    def __init__(self, plan: FaultPlan, replaced: Signal) -> None:
        """Create the switch.

        :param plan: faults of the stand-in
        :param replaced: notified when the faults were replaced
        """
        self._plan = plan
        self._replaced = replaced

    @property
    def plan(self) -> FaultPlan:
        """Return the faults."""
        return self._plan

    async def replace(self, request: Request) -> JSONResponse:
        """Serve the call that replaces all faults."""
        body = FaultBody.model_validate_json(await request.body())
        now = asyncio.get_running_loop().time()
        self._plan.replace(body.faults(), now)
        self._replaced.notify()
        return JSONResponse({})

    async def hold_up(self) -> None:
        """Wait for one way's delay and then for the end of a freeze."""
        loop = asyncio.get_running_loop()
        if self._plan.half_delay_s > 0:
            await asyncio.sleep(self._plan.half_delay_s)
        while (frozen_s := self._plan.frozen_s(loop.time())) > 0:
            await self._replaced.wait_until(loop.time() + frozen_s)
