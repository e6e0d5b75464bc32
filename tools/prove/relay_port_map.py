"""Ports of the relays between the processes of a deployment."""

from __future__ import annotations

from socket import AF_INET
from socket import SOCK_STREAM
from socket import socket
from typing import TYPE_CHECKING

from tools.port_allocator import LOOPBACK_HOST
from tools.port_map import PortMap
from tools.prove.relay import Relay

if TYPE_CHECKING:
    from collections.abc import Callable


class RelayPortMap(PortMap):
    """Puts a relay in front of the platform, each worker and each entry.

    A relay is named ``platform:ENTRY``, ``worker:WORKER`` or ``peer:ENTRY``.
    """

    def __init__(self, identify_source: Callable[[bytes], str | None]) -> None:
        """Create it without relays.

        :param identify_source: names the entry that sent bytes to another
            one, or returns None when it is not known
        """
        self._identify_source = identify_source
        self._relays: dict[str, Relay] = {}

    @property
    def relays(self) -> dict[str, Relay]:
        """Return the relays by name."""
        return dict(self._relays)

    def platform_port(self, entry: str, port: int) -> int:
        """Return the port of the relay between an entry and the platform."""
        return self._port(f"platform:{entry}", port)

    def worker_port(self, worker: str, port: int) -> int:
        """Return the port of the relay in front of a worker."""
        return self._port(f"worker:{worker}", port)

    def peer_port(self, entry: str, port: int) -> int:
        """Return the port of the relay in front of an entry."""
        return self._port(f"peer:{entry}", port)

    async def open(self) -> None:
        """Start all relays."""
        for relay in self._relays.values():
            await relay.open()

    async def close(self) -> None:
        """Stop all relays."""
        for relay in self._relays.values():
            await relay.close()

    def _port(self, name: str, port: int) -> int:
        relay = self._relays.get(name)
        if relay is None:
            listener = socket(AF_INET, SOCK_STREAM)
            listener.bind((LOOPBACK_HOST, 0))
            between_entries = name.startswith("peer:")
            relay = Relay(
                listener,
                port,
                self._identify_source if between_entries else None,
            )
            self._relays[name] = relay
        return relay.port
