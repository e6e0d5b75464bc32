"""TCP relay between processes of a deployment."""

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
    """Forwards connections to one port, with one task for each.

    Partitions hold bytes back for a time; silenced connections drop them.
    """

    def __init__(
        self,
        listener: socket,
        target_port: int,
        identify_source: Callable[[bytes], str | None] | None = None,
    ) -> None:
        """Create a relay that does not accept connections yet.

        :param listener: bound socket
        :param target_port: port on the loopback address
        :param identify_source: names the sender of bytes, or returns None
            when it is not known; None when partitions cut all sources
        """
        self._listener = listener
        self._target_port = target_port
        self._identify_source = identify_source
        self._server: asyncio.Server | None = None
        self._partitions: list[Partition] = []
        self._connections: dict[RelayConnection, asyncio.Task[None]] = {}

    @property
    def port(self) -> int:
        """Return the port that the relay listens on."""
        return int(self._listener.getsockname()[1])

    @property
    def connections(self) -> tuple[RelayConnection, ...]:
        """Return the open connections."""
        return tuple(self._connections)

    async def open(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(
            self._serve, sock=self._listener
        )

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self._listener.close()
        tasks = list(self._connections.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def cut(self, partition: Partition) -> None:
        """Hold back the bytes of the connections of a partition."""
        self._partitions.append(partition)
        self._update_connections()

    def heal(self, partition: Partition) -> None:
        """End a partition; forward the bytes that were held back."""
        if partition in self._partitions:
            self._partitions.remove(partition)
        self._update_connections()

    def silence(self) -> int:
        """Make all present connections permanently silent.

        :returns: number of silenced connections
        """
        for connection in self._connections:
            connection.silence()
        return len(self._connections)

    def _update_connections(self) -> None:
        for connection in self._connections:
            connection.update_mode()

    def _mode_of(self, source: str | None) -> RelayMode:
        if any(partition.applies_to(source) for partition in self._partitions):
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
                reader, writer, self._target_port, self._identify_source
            )
        except asyncio.CancelledError:
            # asyncio's stream server logs a cancelled handler as an error.
            pass
        finally:
            del self._connections[connection]
