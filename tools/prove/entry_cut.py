"""Cuts an entry off from the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tools.prove.cut import Cut
from tools.prove.fault_action import FaultAction

if TYPE_CHECKING:
    from tools.prove.fault_record import FaultRecord
    from tools.prove.relay_port_map import RelayPortMap


class EntryCut(FaultAction):
    """Cuts a single entry from the platform; its peers still reach it."""

    def __init__(self, port_map: RelayPortMap) -> None:
        """Create the action.

        :param port_map: relays between the processes
        """
        self._port_map = port_map

    async def run(self, record: FaultRecord) -> None:
        """Cut and heal."""
        relay = self._port_map.relays[f"platform:{record.fault.target}"]
        cut = Cut()
        relay.cut(cut)
        try:
            await asyncio.sleep(record.fault.length_s)
        finally:
            relay.heal(cut)
