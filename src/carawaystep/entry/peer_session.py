"""One task for each peer."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from carawaystep.peer.peer_failure import PeerFailure

if TYPE_CHECKING:
    from carawaystep.entry.entry_state import EntryState
    from carawaystep.membership.entry_record import EntryRecord
    from carawaystep.peer.messages import EntryLoad
    from carawaystep.peer.messages import ForwardReply
    from carawaystep.peer.messages import ForwardRequest
    from carawaystep.peer.peer_port import PeerPort

_NEAR_INTERVAL_S = 1.0
_FAR_INTERVAL_S = 5.0

# A link without a reply for this long is closed and opened anew.
_SILENT_AFTER_S = 3.0
_RETRY_S = 1.0
_CONNECT_POLL_S = 0.1


class PeerSession:
    """Exchanges heartbeats with one peer and replaces silent links."""

    def __init__(self, state: EntryState, record: EntryRecord) -> None:
        """Create a session with one process of a peer.

        :param state: state of the process
        :param record: the peer's heartbeat row
        """
        self._state = state
        self._record = record
        self._port: PeerPort | None = None
        self._heard = False

    @property
    def incarnation(self) -> str:
        """Return the peer's process."""
        return self._record.incarnation

    @property
    def connected(self) -> bool:
        """Tell whether the last heartbeat was answered."""
        return self._port is not None and self._heard

    async def run(self) -> None:
        """Keep a link until the task is cancelled."""
        while True:
            self._port = await self._state.ports.peer(
                self._record.peer_address
            )
            try:
                await self._exchange(self._port)
            finally:
                self._heard = False
                self._state.zone.remove_load(self._record.name)
                port, self._port = self._port, None
                if port is not None:
                    await port.close()
            await asyncio.sleep(_RETRY_S * random.uniform(0.5, 1.0))

    async def forward(
        self, message: ForwardRequest, timeout_s: float
    ) -> Result[ForwardReply, PeerFailure]:
        """Send a request to the peer and wait for its reply."""
        if self._port is None:
            return Err(PeerFailure("There is no link to the peer.", False))
        return await self._port.forward(message, timeout_s)

    async def _exchange(self, port: PeerPort) -> None:
        """Exchange heartbeats until the peer is silent."""
        same_zone = (
            self._record.availability_zone
            == self._state.settings.availability_zone
        )
        interval_s = _NEAR_INTERVAL_S if same_zone else _FAR_INTERVAL_S
        failing_since: float | None = None
        while True:
            sent_at = self._state.now
            answer = await port.heartbeat(self._state.load(), _SILENT_AFTER_S)
            if isinstance(answer, Ok):
                failing_since = None
                self._hear(answer.ok_value)
                await asyncio.sleep(interval_s)
                continue
            self._lose()
            if failing_since is None:
                failing_since = sent_at
            if self._state.now - failing_since >= _SILENT_AFTER_S:
                return
            # A link takes a few round trips to connect, and until then a
            # heartbeat fails at once. Closing it would begin them anew.
            await asyncio.sleep(_CONNECT_POLL_S)

    def _lose(self) -> None:
        if self._heard:
            self._state.record("peer.silent", self._record.name)
        self._heard = False
        self._state.zone.remove_load(self._record.name)

    def _hear(self, load: EntryLoad) -> None:
        state = self._state
        if not self._heard:
            self._heard = True
            state.record("peer.connected", load.entry)
        state.hear_peer(load)
