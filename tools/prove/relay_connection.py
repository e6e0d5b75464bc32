"""Connection through a relay."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from tools.port_allocator import LOOPBACK_HOST
from tools.prove.relay_mode import RelayMode

if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter
    from collections.abc import Callable

_CHUNK_BYTES = 65536


class RelayConnection:
    """Copies bytes in both directions, subject to its mode."""

    def __init__(self, mode_of: Callable[[str | None], RelayMode]) -> None:
        """Create a connection that is not connected to the target yet.

        :param mode_of: returns the mode for the name of a source, which is
            None while it is not known
        """
        self._mode_of = mode_of
        self._source: str | None = None
        self._mode = RelayMode.PASS
        self._not_cut = asyncio.Event()
        self.update_mode()

    @property
    def source(self) -> str | None:
        """Return the process that opened it, None while it is not known."""
        return self._source

    @property
    def mode(self) -> RelayMode:
        """Return the present mode."""
        return self._mode

    def silence(self) -> None:
        """Drop all bytes from now on."""
        self._mode = RelayMode.SILENT
        self._not_cut.set()

    def update_mode(self) -> None:
        """Apply the present partitions; a silent connection stays silent."""
        if self._mode is not RelayMode.SILENT:
            self._mode = self._mode_of(self._source)
        if self._mode is RelayMode.CUT:
            self._not_cut.clear()
        else:
            self._not_cut.set()

    async def run(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        port: int,
        identify_source: Callable[[bytes], str | None] | None,
    ) -> None:
        """Relay the connection until one side ends it.

        :param reader: bytes from the process that opened the connection
        :param writer: bytes to that process
        :param port: port of the target on the loopback address
        :param identify_source: names the sender of bytes, or returns None
            when it is not known; None when the source is not needed
        """
        writers = [writer]
        try:
            await self._not_cut.wait()
            target_reader, target_writer = await asyncio.open_connection(
                LOOPBACK_HOST, port
            )
            writers.append(target_writer)
            copies = {
                asyncio.ensure_future(
                    self._copy(reader, target_writer, identify_source)
                ),
                asyncio.ensure_future(self._copy(target_reader, writer, None)),
            }
            try:
                await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for copy in copies:
                    copy.cancel()
                await asyncio.gather(*copies, return_exceptions=True)
        except OSError:
            pass
        finally:
            for open_writer in writers:
                open_writer.close()

    async def _copy(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        identify_source: Callable[[bytes], str | None] | None,
    ) -> None:
        with suppress(OSError):
            while True:
                data = await self._read(reader)
                if identify_source is not None and self._source is None:
                    self._source = identify_source(data)
                    self.update_mode()
                await self._not_cut.wait()
                if not data:
                    return
                if self._mode is RelayMode.SILENT:
                    continue
                writer.write(data)
                await writer.drain()

    @staticmethod
    async def _read(reader: StreamReader) -> bytes:
        try:
            return await reader.read(_CHUNK_BYTES)
        except OSError:
            # A reset counts as an end, which a cut holds back as well.
            return b""
