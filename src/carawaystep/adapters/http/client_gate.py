"""Application of the account of clients to the connections of a process."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from carawaystep.intake.client_account import ClientAccount

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from carawaystep.intake.client_connection import ClientConnection
    from carawaystep.intake.client_connection import ConnectionPhase
    from carawaystep.intake.client_limits import ClientLimits
    from carawaystep.intake.client_limits import ListenerLimits
    from carawaystep.planner.decision_log import DecisionLog

# Time without a refusal after which the process counts as having room again.
_CALM_S = 5.0


class EvictableConnection(ABC):
    """Connection that can be closed to make room for others."""

    @abstractmethod
    def evict(self) -> None:
        """Refuse the request in progress, if any, and close."""


@dataclass(frozen=True, slots=True)
class Listener:
    """A listening address whose clients are not trusted.

    :param name: name of the address, unique in the process
    :param limits: limits of its connections
    :param gate: gate of the process
    """

    name: str
    limits: ListenerLimits
    gate: ClientGate


class ClientGate:
    """Asks the account of a process about each connection and its bytes.

    All servers of a process share one gate. It logs when the process begins
    to refuse clients and when it has room again, not each refusal.
    """

    def __init__(
        self,
        limits: ClientLimits,
        log: DecisionLog,
        node: str,
        on_room: Callable[[], None] | None = None,
    ) -> None:
        """Create the gate of a process within a running event loop.

        :param limits: limits of all clients
        :param log: log of decisions
        :param node: name of the node, for the log
        :param on_room: called when there is room again after refusals
        """
        self._account = ClientAccount(limits)
        self._log = log
        self._node = node
        self._on_room = on_room
        self._loop = asyncio.get_running_loop()
        self._protocols: dict[ClientConnection, EvictableConnection] = {}
        self._turned_away_before = 0
        self._last_turned_away = 0
        self._calm_check: asyncio.TimerHandle | None = None

    @property
    def account(self) -> ClientAccount:
        """Return the account, for metrics."""
        return self._account

    def open(
        self, protocol: EvictableConnection, listener: Listener, peer: str
    ) -> ClientConnection:
        """Decide about a new connection; see its ``admission``.

        :param protocol: the connection
        :param listener: listening address that it was made to
        :param peer: address of the client
        """
        opening = self._account.open(
            listener.name, listener.limits, peer, self._loop.time()
        )
        self._protocols[opening.connection] = protocol
        if opening.evicted is not None:
            self._evict([opening.evicted])
        self._watch()
        return opening.connection

    def close(self, connection: ClientConnection) -> None:
        """Release a connection that has ended."""
        self._protocols.pop(connection, None)
        self._account.close(connection)

    def receive(self, connection: ClientConnection, count: int) -> bool:
        """Tell whether received bytes may be kept.

        :param connection: connection that has received them
        :param count: number of bytes
        """
        charge = self._account.charge(connection, count, self._loop.time())
        self._evict(charge.evicted)
        self._watch()
        return charge.accepted

    def keep(self, connection: ClientConnection, count: int) -> None:
        """Release what a connection holds except for some bytes."""
        self._account.keep(connection, count)

    def enter(
        self, connection: ClientConnection, phase: ConnectionPhase
    ) -> None:
        """Record what a connection is waiting for."""
        connection.enter(phase, self._loop.time())

    def _evict(self, connections: Iterable[ClientConnection]) -> None:
        for connection in connections:
            protocol = self._protocols.pop(connection, None)
            if protocol is not None:
                protocol.evict()

    def _watch(self) -> None:
        """Log the first of a series of refusals."""
        account = self._account
        turned_away = account.refused + account.evicted
        if turned_away == self._last_turned_away:
            return
        if self._calm_check is None:
            self._turned_away_before = self._last_turned_away
            self._log.line(
                "clients.limited",
                self._node,
                connections=account.open_connections,
                held_bytes=account.held_bytes,
            )
            self._schedule_calm_check(turned_away)
        self._last_turned_away = turned_away

    def _schedule_calm_check(self, turned_away: int) -> None:
        self._calm_check = self._loop.call_later(
            _CALM_S, self._check_calm, turned_away
        )

    def _check_calm(self, turned_away_before: int) -> None:
        """Log the end of a series of refusals, or check again later."""
        if self._last_turned_away != turned_away_before:
            self._schedule_calm_check(self._last_turned_away)
            return
        self._calm_check = None
        if self._on_room is not None:
            self._on_room()
        self._log.line(
            "clients.unlimited",
            self._node,
            connections=self._account.open_connections,
            turned_away=self._last_turned_away - self._turned_away_before,
        )
