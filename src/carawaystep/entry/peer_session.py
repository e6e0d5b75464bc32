"""Session with one peer."""

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

_OWN_ZONE_HEARTBEAT_INTERVAL_S = 1.0
_OTHER_ZONE_HEARTBEAT_INTERVAL_S = 5.0

# Timeout of a heartbeat, and time without a reply after which the link is
# closed and opened again.
_SILENCE_TIMEOUT_S = 3.0
_RECONNECT_DELAY_S = 1.0
_FAILED_HEARTBEAT_RETRY_S = 0.1


class PeerSession:
    """Exchanges heartbeats with one peer and replaces broken links."""

    def __init__(self, state: EntryState, record: EntryRecord) -> None:
        """Create a session with one process of a peer.

        :param state: shared state of the entry process
        :param record: record of the peer, from its heartbeat row
        """
        self._state = state
        self._record = record
        self._port: PeerPort | None = None
        self._answered = False

    @property
    def incarnation(self) -> str:
        """Return the unique id of the peer's process."""
        return self._record.incarnation

    @property
    def connected(self) -> bool:
        """Return whether the last heartbeat was answered."""
        return self._port is not None and self._answered

    async def run(self) -> None:
        """Keep a link to the peer open until cancelled."""
        while True:
            self._port = await self._state.ports.peer(
                self._record.peer_address
            )
            try:
                await self._exchange_heartbeats(self._port)
            finally:
                self._answered = False
                self._state.fleet_view.remove_load(self._record.name)
                port, self._port = self._port, None
                if port is not None:
                    await port.close()
            await asyncio.sleep(_RECONNECT_DELAY_S * random.uniform(0.5, 1.0))

    async def forward(
        self, message: ForwardRequest, timeout_s: float
    ) -> Result[ForwardReply, PeerFailure]:
        """Send a request to the peer and wait for its reply."""
        if self._port is None:
            return Err(PeerFailure("There is no link to the peer.", False))
        return await self._port.forward(message, timeout_s)

    async def _exchange_heartbeats(self, port: PeerPort) -> None:
        """Exchange heartbeats until the peer has not replied for too long."""
        same_zone = (
            self._record.availability_zone
            == self._state.settings.availability_zone
        )
        interval_s = (
            _OWN_ZONE_HEARTBEAT_INTERVAL_S
            if same_zone
            else _OTHER_ZONE_HEARTBEAT_INTERVAL_S
        )
        failing_since: float | None = None
        while True:
            sent_at = self._state.now
            answer = await port.heartbeat(
                self._state.own_load(), _SILENCE_TIMEOUT_S
            )
            if isinstance(answer, Ok):
                failing_since = None
                self._mark_connected(answer.ok_value)
                await asyncio.sleep(interval_s)
                continue
            self._mark_silent()
            if failing_since is None:
                failing_since = sent_at
            if self._state.now - failing_since >= _SILENCE_TIMEOUT_S:
                return
            # A new link needs a few round trips to connect, and until then a
            # heartbeat fails at once. Closing the link would start the
            # connection again.
            await asyncio.sleep(_FAILED_HEARTBEAT_RETRY_S)

    def _mark_silent(self) -> None:
        if self._answered:
            self._state.record_event("peer.silent", self._record.name)
        self._answered = False
        self._state.fleet_view.remove_load(self._record.name)

    def _mark_connected(self, load: EntryLoad) -> None:
        state = self._state
        if not self._answered:
            self._answered = True
            state.record_event("peer.connected", load.entry)
        state.record_peer_load(load)
