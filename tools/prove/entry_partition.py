"""Cuts an entry off from the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tools.prove.fault_action import FaultAction
from tools.prove.partition import Partition

if TYPE_CHECKING:
    from tools.prove.fault_record import FaultRecord
    from tools.prove.relay_routes import RelayRoutes


class EntryPartition(FaultAction):
    """Cuts a single entry from the platform; its peers still reach it."""

    def __init__(self, routes: RelayRoutes) -> None:
        """Create the action.

        :param routes: relays between the processes
        """
        self._routes = routes

    async def run(self, record: FaultRecord) -> None:
        """Partition and heal."""
        relay = self._routes.relays[f"platform:{record.fault.target}"]
        cut = Partition()
        relay.cut(cut)
        try:
            await asyncio.sleep(record.fault.length_s)
        finally:
            relay.heal(cut)
