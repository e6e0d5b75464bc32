"""Tests of the modes of relayed connections."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from contextlib import suppress
from socket import AF_INET
from socket import SOCK_STREAM
from socket import socket
from typing import TYPE_CHECKING

from testtools import TestCase

from tools.port_allocator import LOOPBACK_HOST
from tools.prove.partition import Partition
from tools.prove.relay import Relay
from tools.prove.source_finder import SourceFinder

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_RECEIVE_TIMEOUT_S = 5.0
_NO_ANSWER_WAIT_S = 0.1


async def _echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with suppress(OSError):
        while data := await reader.read(100):
            writer.write(data)
            await writer.drain()
    writer.close()


@asynccontextmanager
async def _relay() -> AsyncIterator[Relay]:
    """Run a relay in front of an echo server."""
    server = await asyncio.start_server(_echo, LOOPBACK_HOST, 0)
    listener = socket(AF_INET, SOCK_STREAM)
    listener.bind((LOOPBACK_HOST, 0))
    port = server.sockets[0].getsockname()[1]
    relay = Relay(listener, port, SourceFinder(["e1", "e2"]).find_source)
    await relay.open()
    try:
        yield relay
    finally:
        await relay.close()
        server.close()
        await server.wait_closed()


class _Client:
    """One connection through a relay."""

    @classmethod
    async def open(cls, relay: Relay) -> _Client:
        client = cls()
        client.reader, client.writer = await asyncio.open_connection(
            LOOPBACK_HOST, relay.port
        )
        return client

    async def exchange(self, data: bytes) -> bytes | None:
        """Send bytes; return the answer, None when none arrives in time."""
        self.writer.write(data)
        return await self.receive()

    async def send_into_silence(self, data: bytes) -> bytes | None:
        """Send bytes to which no answer is expected; return one that comes."""
        self.writer.write(data)
        return await self.receive(_NO_ANSWER_WAIT_S)

    async def receive(
        self, timeout_s: float = _RECEIVE_TIMEOUT_S
    ) -> bytes | None:
        try:
            async with asyncio.timeout(timeout_s):
                return await self.reader.read(100)
        except TimeoutError:
            return None


class RelayTest(TestCase):
    """A relay in front of an echo server."""

    def test_pass(self) -> None:
        """Guards against a relay that changes or loses bytes."""

        async def run() -> list[bytes | None]:
            async with _relay() as relay:
                client = await _Client.open(relay)
                echoed = await client.exchange(b"a")
                client.writer.write_eof()
                return [echoed, await client.receive()]

        self.assertEqual([b"a", b""], asyncio.run(run()))

    def test_partition_holds_bytes_back(self) -> None:
        """Guards against a partition that loses or forwards bytes."""

        async def run() -> list[bytes | None]:
            async with _relay() as relay:
                old = await _Client.open(relay)
                seen = [await old.exchange(b"a")]
                partition = Partition()
                relay.cut(partition)
                new = await _Client.open(relay)
                seen += [
                    await old.send_into_silence(b"b"),
                    await new.send_into_silence(b"c"),
                ]
                relay.heal(partition)
                return [*seen, await old.receive(), await new.receive()]

        self.assertEqual([b"a", None, None, b"b", b"c"], asyncio.run(run()))

    def test_partition_of_one_source(self) -> None:
        """Guards against a partition that cuts the wrong source."""

        async def run() -> list[bytes | None]:
            async with _relay() as relay:
                relay.cut(Partition(frozenset({"e1"})))
                inside = await _Client.open(relay)
                outside = await _Client.open(relay)
                return [
                    await inside.exchange(b"handshake"),
                    await inside.send_into_silence(b"from e1 to e2"),
                    await outside.exchange(b"from e2 to e1"),
                ]

        self.assertEqual(
            [b"handshake", None, b"from e2 to e1"], asyncio.run(run())
        )

    def test_silence(self) -> None:
        """Guards against silence that ends or affects new connections."""

        async def run() -> list[bytes | None]:
            async with _relay() as relay:
                old = await _Client.open(relay)
                seen = [await old.exchange(b"a")]
                relay.silence()
                partition = Partition()
                relay.cut(partition)
                relay.heal(partition)
                seen.append(await old.send_into_silence(b"b"))
                new = await _Client.open(relay)
                return [*seen, await new.exchange(b"c")]

        self.assertEqual([b"a", None, b"c"], asyncio.run(run()))
