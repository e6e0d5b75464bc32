"""Makes connections silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tools.prove.fault_action import FaultAction

if TYPE_CHECKING:
    from tools.prove.fault_record import FaultRecord
    from tools.prove.relay_port_map import RelayPortMap


class Silence(FaultAction):
    """Silences the present connections of a relay; new ones work.

    The length is the time that the processes get to notice it.
    """

    def __init__(self, port_map: RelayPortMap) -> None:
        """Create the action.

        :param port_map: relays between the processes
        """
        self._port_map = port_map

    async def run(self, record: FaultRecord) -> None:
        """Silence the connections and wait."""
        self._port_map.relays[record.fault.target].silence()
        await asyncio.sleep(record.fault.length_s)
