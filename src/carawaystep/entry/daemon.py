"""The daemon ``carawaystep entry``."""

from __future__ import annotations

import asyncio
from secrets import token_hex
import signal
from typing import TYPE_CHECKING

from absl import logging
from result import Ok

from carawaystep.access.token_file import load_tokens
from carawaystep.adapters.http.application import create_app
from carawaystep.adapters.http.uvicorn_server import UvicornServer
from carawaystep.adapters.metrics.process_counters import ProcessCounters
from carawaystep.adapters.metrics.process_metrics import ProcessMetrics
from carawaystep.adapters.system_ports import SystemPorts
from carawaystep.adapters.zmq.peer_server import PeerServer
from carawaystep.entry.entry_node import EntryNode
from carawaystep.entry.event_log import log_event
from carawaystep.errors.broken_invariant import BrokenInvariant
from carawaystep.timeline.event_ring import EventRing

if TYPE_CHECKING:
    from carawaystep.access.token_table import TokenTable
    from carawaystep.settings.entry_settings import EntrySettings

EXIT_OK = 0
EXIT_BROKEN_INVARIANT = 70
EXIT_UNAVAILABLE = 69
EXIT_DRAIN_INCOMPLETE = 75
EXIT_SETTINGS = 78

# Time to deliver replies that were decided before the drain ended.
_HTTP_CLOSE_GRACE_S = 5.0


def run(settings: EntrySettings) -> int:
    """Run an entry process until it stops.

    :param settings: validated settings
    :returns: exit code: 0 after a drain, 69 when an address cannot be bound,
        70 after a broken invariant, 75 when work was left at the drain limit,
        78 when the tokens file is not usable
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    tokens = load_tokens(settings.access.tokens_file)
    if not isinstance(tokens, Ok):
        logging.error("%s", tokens.err_value)
        return EXIT_SETTINGS
    try:
        return asyncio.run(_Daemon(settings, tokens.ok_value).serve())
    except OSError as exc:
        logging.error("Cannot bind an address; check the port: %s", exc)
        return EXIT_UNAVAILABLE


class _Daemon:
    """An entry node with its HTTP and peer servers."""

    def __init__(self, settings: EntrySettings, tokens: TokenTable) -> None:
        """Compose the node and its adapters."""
        metrics = ProcessMetrics()
        self._ports = SystemPorts(settings)
        self._node = EntryNode(
            settings,
            f"{settings.name}-{token_hex(4)}",
            self._ports,
            ProcessCounters(metrics),
            EventRing(settings.timeline_events, log_event),
        )
        self._peer_server = PeerServer(
            settings.peer_address, self._node.peer_handler
        )
        app = create_app(
            self._node,
            tokens,
            settings,
            metrics,
            self._node.supervisor.report_broken_invariant,
        )
        self._http = UvicornServer(app, settings.http.host, settings.http.port)

    async def serve(self) -> int:
        """Serve until a signal, a broken invariant or a replacement.

        The process is replaced when another one with the same entry name
        writes the entry's row.

        :returns: exit code
        """
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        await self._http.start()
        await self._peer_server.start()
        self._node.supervisor.spawn("peer server", self._run_peer_server)
        starting = self._node.supervisor.spawn("start", self._node.start)
        stopped = asyncio.create_task(stop.wait())
        broken = asyncio.create_task(self._node.supervisor.broken_invariant())
        replaced = asyncio.create_task(self._node.wait_replaced())
        # A completed start is no reason to stop serving, so it is not waited
        # for.
        await asyncio.wait(
            (stopped, broken, replaced), return_when=asyncio.FIRST_COMPLETED
        )
        starting.cancel()
        for waiting in (stopped, replaced):
            waiting.cancel()
        if broken.done():
            return self._log_broken_invariant(broken.result())
        code = await self._drain(broken)
        broken.cancel()
        return code

    async def _run_peer_server(self) -> None:
        """Wait for the peer server, and restart it after an error.

        The error is raised again, so that the supervisor logs it and calls
        this method again.
        """
        try:
            await self._peer_server.wait()
        except ExceptionGroup as group:
            subgroup, _ = group.split(BrokenInvariant)
            if subgroup is not None:
                raise BrokenInvariant(str(subgroup.exceptions[0])) from group
            await self._peer_server.stop()
            await self._peer_server.start()
            raise

    def _log_broken_invariant(self, broken_invariant: BrokenInvariant) -> int:
        """Log the broken invariant and return the exit code."""
        logging.error(
            "Stopping because of a broken invariant: %s", broken_invariant
        )
        return EXIT_BROKEN_INVARIANT

    async def _drain(self, broken: asyncio.Task[BrokenInvariant]) -> int:
        """Drain and stop unless an invariant breaks; return the exit code."""
        draining = asyncio.create_task(self._node.drain())
        await asyncio.wait(
            (draining, broken), return_when=asyncio.FIRST_COMPLETED
        )
        if not draining.done():
            draining.cancel()
            return self._log_broken_invariant(broken.result())
        await self._http.stop(_HTTP_CLOSE_GRACE_S)
        await self._peer_server.stop()
        await self._node.stop()
        await self._ports.close()
        return EXIT_OK if draining.result() else EXIT_DRAIN_INCOMPLETE
