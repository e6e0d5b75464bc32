"""Simulates the peer links of another entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from carawaystep.adapters.zmq.peer_client import PeerClient
from carawaystep.adapters.zmq.peer_server import PeerServer
from carawaystep.peer.messages import DocumentsReply
from carawaystep.peer.messages import EntryLoad
from carawaystep.peer.messages import ForwardReply
from carawaystep.peer.peer_handler import PeerHandler
from tools.capacity.counting_relay import CountingRelay
from tools.port_allocator import LOOPBACK_HOST

if TYPE_CHECKING:
    from carawaystep.peer.messages import ForwardRequest
    from tools.capacity.traffic_counter import TrafficCounter

_HEARTBEAT_TIMEOUT_S = 3.0


class SimulatedPeer(PeerHandler):
    """Answers heartbeats of the measured entry and sends its own."""

    def __init__(
        self, name: str, port: int, counter: TrafficCounter, interval_s: float
    ) -> None:
        """Create a peer that does not listen yet.

        :param name: name of the simulated entry
        :param port: free port for its peer address
        :param counter: counts the traffic
        :param interval_s: interval of the heartbeats in both directions
        """
        self._name = name
        self._counter = counter
        self._interval_s = interval_s
        self._server = PeerServer(f"tcp://{LOOPBACK_HOST}:{port}", self)
        self._relay = CountingRelay(counter, "peers/out", port)
        self._task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Return the port of the relay, which the peer advertises."""
        return self._relay.port

    async def start(self) -> None:
        """Start the server and the relay in front of it."""
        await self._server.start()
        await self._relay.start()

    def start_heartbeats(self, port: int) -> None:
        """Send heartbeats to the measured entry until ``stop``.

        :param port: port of the relay to the measured entry
        """
        self._task = asyncio.create_task(self._send_heartbeats(port))

    async def stop(self) -> None:
        """Close both links."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._server.stop()
        await self._relay.stop()

    def exchange_load(self, load: EntryLoad) -> EntryLoad:
        """Count a heartbeat and answer it with the own load."""
        self._counter.counts_of("peers/out").calls += 1
        return self._own_load()

    async def run_forwarded(self, request: ForwardRequest) -> ForwardReply:
        """Refuse the request; the measured entry receives none to forward."""
        return ForwardReply(
            request.sequence, request.request_id, "not-run", "no-room", "", b""
        )

    def documents(self, sequence: int) -> DocumentsReply:
        """Return no documents; entries read them from the platform."""
        return DocumentsReply(sequence, 0, (), ())

    async def _send_heartbeats(self, port: int) -> None:
        client = PeerClient(f"tcp://{LOOPBACK_HOST}:{port}")
        await client.start()
        try:
            while True:
                await client.heartbeat(self._own_load(), _HEARTBEAT_TIMEOUT_S)
                self._counter.counts_of("peers/in").calls += 1
                await asyncio.sleep(self._interval_s)
        finally:
            await client.close()

    def _own_load(self) -> EntryLoad:
        return EntryLoad(
            self._name,
            f"{self._name}-0123abcd",
            self._name.partition("-")[0],
            0,
            0,
            1,
            True,
            False,
        )
