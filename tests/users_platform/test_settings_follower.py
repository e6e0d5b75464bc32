"""Tests of settings that change while the process runs."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import AsyncMock

from result import Ok
from testtools import TestCase

from carawaystep.store.table_changes import TableChanges
from carawaystep_platform.ports import PlatformPorts
from carawaystep_platform.settings import load_settings
from carawaystep_platform.settings_follower import SettingsFollower
from carawaystep_platform.store_client import StoreClient
from tests.planner.planners import RecordingLog

_SETTINGS = """
node_name = "edge-1"
ip = "10.1.0.13"
zone = "chaguanas"
port_range = [7720, 7735]
[listen_addrs]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
[platform]
address = "10.200.1.7:8169"
"""


class SettingsFollowerTest(TestCase):
    """A settings file that changes on disk."""

    def setUp(self) -> None:
        """Write a file and load it."""
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self._path = Path(folder.name) / "local.toml"
        self._writes = 0
        self._write(_SETTINGS)
        self._ports = AsyncMock(PlatformPorts)
        self._log = RecordingLog()
        self._follower = SettingsFollower(
            str(self._path),
            load_settings(str(self._path)).unwrap(),
            self._ports,
            self._log,
        )

    def _write(self, text: str) -> None:
        """Write the file at another time than before."""
        self._path.write_text(text)
        self._writes += 1
        os.utime(self._path, (self._writes, self._writes))

    def _check(self, text: str) -> None:
        self._write(text)
        asyncio.run(self._follower.check())

    def test_moved_store_is_followed_without_a_signal(self) -> None:
        """Guards against calls to a store that has moved away."""
        self._check(_SETTINGS.replace("10.200.1.7:", "10.200.1.8:"))
        (settings,) = self._ports.move_services.call_args.args
        self.assertEqual("10.200.1.8:8169", settings.store_address)
        self.assertEqual(
            {"applied": "store_address", "pending": ""},
            self._log.fields["settings.changed"],
        )

    def test_other_changes_wait_for_the_next_start(self) -> None:
        """Guards against a change that is lost without notice."""
        self._check(_SETTINGS.replace("8161", "8162"))
        self.assertEqual(
            {"applied": "", "pending": "front_address"},
            self._log.fields["settings.changed"],
        )

    def test_unreadable_file_changes_nothing(self) -> None:
        """Guards against a file that is read while it is written."""
        self._check(_SETTINGS[:60])
        self._ports.move_services.assert_not_called()
        self.assertIn("settings.unreadable", self._log.fields)
        self._check(_SETTINGS.replace("10.200.1.7:", "10.200.1.8:"))
        self._ports.move_services.assert_called_once()

    def test_signal_reads_a_file_that_looks_unchanged(self) -> None:
        """Guards against a change that keeps the file's time and size."""
        asyncio.run(self._follower.check())
        state = self._path.stat()
        self._write(_SETTINGS.replace("10.200.1.7:", "10.200.1.8:"))
        os.utime(self._path, ns=(state.st_atime_ns, state.st_mtime_ns))
        asyncio.run(self._follower.check())
        self._ports.move_services.assert_not_called()
        self._follower.request()
        asyncio.run(self._follower.check())
        self._ports.move_services.assert_called_once()


class MovedStoreTest(TestCase):
    """A client of the store whose address changes."""

    def test_calls_go_to_the_new_address(self) -> None:
        """Guards against connections that are kept to the former store."""

        async def read() -> list[object]:
            revisions = []
            async with (
                await self._start_store(revision=3) as former,
                await self._start_store(revision=5) as present,
            ):
                client = StoreClient(self._address(former))
                for server in (former, present):
                    await client.move(self._address(server))
                    revisions.append(await client.changes("op", 1))
                await client.close()
            return revisions

        expected = [Ok(TableChanges((), n, more=False)) for n in (3, 5)]
        self.assertEqual(expected, asyncio.run(read()))

    @staticmethod
    def _address(server: asyncio.Server) -> str:
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    @staticmethod
    async def _start_store(revision: int) -> asyncio.Server:
        """Start a server whose tables are empty at a revision."""
        body = b'{"rows":[],"schema_version":%d}' % revision
        response = (
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        )

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await writer.drain()
            writer.close()

        return await asyncio.start_server(answer, "127.0.0.1", 0)
