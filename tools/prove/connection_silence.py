"""Fault action that silences connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tools.prove.fault_action import FaultAction

if TYPE_CHECKING:
    from tools.prove.fault_record import FaultRecord
    from tools.prove.relay_port_map import RelayPortMap


class ConnectionSilence(FaultAction):
    """Drops all bytes of a relay's present connections; new ones work.

    The duration is the time that the processes get to detect it. The
    connections stay silent afterwards.
    """

    def __init__(self, port_map: RelayPortMap) -> None:
        """Create the action.

        :param port_map: relays between the processes
        """
        self._port_map = port_map

    async def run(self, record: FaultRecord) -> None:
        """Make the connections silent and wait for the duration."""
        self._port_map.relays[record.fault.target].silence()
        await asyncio.sleep(record.fault.duration_s)
