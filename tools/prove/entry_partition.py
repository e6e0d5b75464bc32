"""Fault action that partitions an entry from the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tools.prove.fault_action import FaultAction
from tools.prove.partition import Partition

if TYPE_CHECKING:
    from tools.prove.fault_record import FaultRecord
    from tools.prove.relay_port_map import RelayPortMap


class EntryPartition(FaultAction):
    """Partitions one entry from the platform; peers still reach it."""

    def __init__(self, port_map: RelayPortMap) -> None:
        """Create the action.

        :param port_map: relays between the processes
        """
        self._port_map = port_map

    async def run(self, record: FaultRecord) -> None:
        """Hold back the bytes; heal the partition after the duration."""
        relay = self._port_map.relays[f"platform:{record.fault.target}"]
        partition = Partition()
        relay.cut(partition)
        try:
            await asyncio.sleep(record.fault.duration_s)
        finally:
            relay.heal(partition)
