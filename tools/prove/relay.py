"""A TCP relay between processes of a deployment."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tools.prove.relay_connection import RelayConnection
from tools.prove.relay_mode import RelayMode

if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter
    from collections.abc import Callable
    from socket import socket

    from tools.prove.partition import Partition


class Relay:
    """Forwards connections to one port, one task for each connection."""

    def __init__(
        self,
        listener: socket,
        target_port: int,
        identify: Callable[[bytes], str | None] | None = None,
    ) -> None:
        """Create a relay that does not accept connections yet.

        :param listener: bound socket
        :param target_port: port on loopback
        :param identify: names the source of bytes, None when cuts hold all
            sources
        """
        self._listener = listener
        self._target_port = target_port
        self._identify = identify
        self._server: asyncio.Server | None = None
        self._cuts: list[Partition] = []
        self._connections: dict[RelayConnection, asyncio.Task[None]] = {}

    @property
    def port(self) -> int:
        """Return the port that it listens on."""
        return int(self._listener.getsockname()[1])

    @property
    def connections(self) -> tuple[RelayConnection, ...]:
        """Return the open connections."""
        return tuple(self._connections)

    async def open(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._serve, sock=self._listener
        )

    async def close(self) -> None:
        """Stop to listen and end all connections."""
        if self._server is not None:
            self._server.close()
        self._listener.close()
        tasks = list(self._connections.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def cut(self, cut: Partition) -> None:
        """Hold back the bytes of some sources."""
        self._cuts.append(cut)
        self._apply()

    def heal(self, cut: Partition) -> None:
        """End a cut; bytes that were held back arrive now."""
        if cut in self._cuts:
            self._cuts.remove(cut)
        self._apply()

    def silence(self) -> int:
        """Make all present connections silent for good.

        :returns: number of connections
        """
        for connection in self._connections:
            connection.silence()
        return len(self._connections)

    def _apply(self) -> None:
        for connection in self._connections:
            connection.update_mode()

    def _mode_of(self, source: str | None) -> RelayMode:
        if any(cut.holds(source) for cut in self._cuts):
            return RelayMode.CUT
        return RelayMode.PASS

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        connection = RelayConnection(self._mode_of)
        task = asyncio.current_task()
        if task is None:
            return
        self._connections[connection] = task
        try:
            await connection.run(
                reader, writer, self._target_port, self._identify
            )
        except asyncio.CancelledError:
            # asyncio's stream server reports a cancelled handler as a fault.
            pass
        finally:
            del self._connections[connection]
