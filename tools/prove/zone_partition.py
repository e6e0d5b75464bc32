"""Fault action that isolates an availability zone."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tools.prove.fault_action import FaultAction
from tools.prove.partition import Partition

if TYPE_CHECKING:
    from tools.prove.fault_record import FaultRecord
    from tools.prove.relay_port_map import RelayPortMap
    from tools.prove.topology import Topology


class ZonePartition(FaultAction):
    """Partitions entries of a zone from other zones and the platform."""

    def __init__(self, port_map: RelayPortMap, topology: Topology) -> None:
        """Create the action.

        :param port_map: relays between the processes
        :param topology: entries of each availability zone
        """
        self._port_map = port_map
        self._topology = topology

    async def run(self, record: FaultRecord) -> None:
        """Hold back the bytes; heal the partition after the duration."""
        inside = frozenset(self._topology.entries[record.fault.target])
        outside = frozenset(self._topology.all_entries) - inside
        partitions = [
            (f"platform:{name}", Partition())
            for name in self._topology.all_entries
            if name in inside
        ]
        for name in self._topology.all_entries:
            sources = outside if name in inside else inside
            partitions.append((f"peer:{name}", Partition(sources)))
        relays = self._port_map.relays
        for name, partition in partitions:
            relays[name].cut(partition)
        try:
            await asyncio.sleep(record.fault.duration_s)
        finally:
            for name, partition in partitions:
                relays[name].heal(partition)
