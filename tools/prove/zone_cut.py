"""Cuts an availability zone off."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tools.prove.cut import Cut
from tools.prove.fault_action import FaultAction

if TYPE_CHECKING:
    from tools.prove.fault_record import FaultRecord
    from tools.prove.relay_port_map import RelayPortMap
    from tools.prove.topology import Topology


class ZoneCut(FaultAction):
    """Cuts all entries of a zone from other zones and from the platform."""

    def __init__(self, port_map: RelayPortMap, topology: Topology) -> None:
        """Create the action.

        :param port_map: relays between the processes
        :param topology: entries of each availability zone
        """
        self._port_map = port_map
        self._topology = topology

    async def run(self, record: FaultRecord) -> None:
        """Cut and heal."""
        inside = frozenset(self._topology.entries[record.fault.target])
        outside = frozenset(self._topology.all_entries) - inside
        cuts = [
            (f"platform:{name}", Cut())
            for name in self._topology.all_entries
            if name in inside
        ]
        for name in self._topology.all_entries:
            sources = outside if name in inside else inside
            cuts.append((f"peer:{name}", Cut(sources)))
        relays = self._port_map.relays
        for name, cut in cuts:
            relays[name].cut(cut)
        try:
            await asyncio.sleep(record.fault.length_s)
        finally:
            for name, cut in cuts:
                relays[name].heal(cut)
