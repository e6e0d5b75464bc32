"""Account of the connections and the memory that clients hold."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from carawaystep.intake.client_connection import Admission
from carawaystep.intake.client_connection import ClientConnection
from carawaystep.intake.client_connection import ConnectionPhase
from carawaystep.intake.client_limits import CONNECTION_BYTES

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaystep.intake.client_limits import ClientLimits
    from carawaystep.intake.client_limits import ListenerLimits

# Seconds in a phase after which a connection may be closed to make room. A
# phase that is not listed is never cut short: the answer to a request that
# was passed on is worth waiting for.
_EVICTION_AGES_S = {
    ConnectionPhase.CLOSE: 0.0,
    ConnectionPhase.FIRST_REQUEST: 1.0,
    ConnectionPhase.HEAD: 1.0,
    ConnectionPhase.BODY: 1.0,
    ConnectionPhase.READER: 1.0,
    # A client may be about to use the connection again.
    ConnectionPhase.NEXT_REQUEST: 5.0,
}
_MAX_REFUSED_SHARE = 0.125


@dataclass(frozen=True, slots=True)
class Opening:
    """A new connection and the one that is closed to make room for it."""

    connection: ClientConnection
    evicted: ClientConnection | None = None


@dataclass(frozen=True, slots=True)
class Charge:
    """Decision about received bytes.

    :param accepted: whether the bytes may be kept
    :param evicted: connections that are closed to make room for them
    """

    accepted: bool
    evicted: tuple[ClientConnection, ...] = ()


class ClientAccount:
    """Decides which clients are served when there is no room for all.

    It answers crowds of clients that open connections, send requests without
    an end or do not read answers. Connections that have waited longest for
    their own client are closed first. A connection whose request was passed
    on is never closed.

    :ivar held_bytes: memory that all clients hold
    :ivar refused: number of connections that were refused
    :ivar evicted: number of connections that were closed to make room
    """

    def __init__(self, limits: ClientLimits) -> None:
        """Create an account without connections.

        :param limits: limits of all clients
        """
        self._limits = limits
        self._connections: defaultdict[str, set[ClientConnection]] = (
            defaultdict(set)
        )
        self._refused_connections: Counter[str] = Counter()
        self._peers: Counter[tuple[str, str]] = Counter()
        # A search that found nothing need not be repeated before this time.
        self._next_searches: dict[tuple[str, str], float] = {}
        self.held_bytes = 0
        self.refused = 0
        self.evicted = 0

    @property
    def open_connections(self) -> int:
        """Return the number of admitted connections."""
        return sum(len(group) for group in self._connections.values())

    def connections(self, listener: str) -> frozenset[ClientConnection]:
        """Return the admitted connections to a listening address."""
        return frozenset(self._connections[listener])

    def open(
        self, listener: str, limits: ListenerLimits, peer: str, now: float
    ) -> Opening:
        """Decide about a new connection.

        :param listener: name of the listening address
        :param limits: limits of that address
        :param peer: address of the client
        :param now: current time, seconds
        """
        evicted = None
        group = self._connections[listener]
        if self._peers[listener, peer] >= limits.max_peer_connections:
            evicted = self._find_evictable(
                (listener, peer), (c for c in group if c.peer == peer), now
            )
            admitted = evicted is not None
        elif len(group) >= limits.max_connections:
            evicted = self._find_evictable((listener, ""), group, now)
            admitted = evicted is not None
        else:
            admitted = True
        if not admitted:
            return Opening(self._refuse(listener, limits, peer, now))
        if evicted is not None:
            self._evict(evicted)
        connection = ClientConnection(listener, peer, Admission.ADMITTED, now)
        group.add(connection)
        self._peers[listener, peer] += 1
        self.held_bytes += connection.held_bytes
        return Opening(connection, evicted)

    def close(self, connection: ClientConnection) -> None:
        """Release a connection that has ended or is evicted."""
        if connection.admission is Admission.REFUSED:
            self._refused_connections[connection.listener] -= 1
            connection.admission = Admission.DROPPED
        group = self._connections[connection.listener]
        if connection not in group:
            return
        group.remove(connection)
        peer = (connection.listener, connection.peer)
        self._peers[peer] -= 1
        if not self._peers[peer]:
            del self._peers[peer]
            self._next_searches.pop(peer, None)
        self.held_bytes -= connection.held_bytes
        connection.held_bytes = 0

    def charge(
        self, connection: ClientConnection, count: int, now: float
    ) -> Charge:
        """Decide whether received bytes may be kept.

        The bytes of a request that was passed on are always accepted; its
        connection must not be read any further meanwhile.

        :param connection: connection that has received them
        :param count: number of bytes
        :param now: current time, seconds
        """
        if connection not in self._connections[connection.listener]:
            return Charge(False)
        connection.held_bytes += count
        self.held_bytes += count
        if connection.phase is ConnectionPhase.ANSWER:
            return Charge(True)
        limit = (
            self._limits.max_body_bytes
            if connection.phase is ConnectionPhase.BODY
            else self._limits.max_bytes
        )
        evicted: list[ClientConnection] = []
        while self.held_bytes > limit:
            holders = (
                other
                for group in self._connections.values()
                for other in group
                if other is not connection
                and other.held_bytes > CONNECTION_BYTES
            )
            holder = self._find_evictable(("", ""), holders, now)
            if holder is None:
                self.refused += 1
                return Charge(False, tuple(evicted))
            self._evict(holder)
            evicted.append(holder)
        return Charge(True, tuple(evicted))

    def keep(self, connection: ClientConnection, count: int) -> None:
        """Release what a connection holds except for some bytes.

        :param connection: connection whose request has ended
        :param count: bytes of further requests that it has received
        """
        if connection not in self._connections[connection.listener]:
            return
        held = CONNECTION_BYTES + count
        self.held_bytes += held - connection.held_bytes
        connection.held_bytes = held

    def _refuse(
        self, listener: str, limits: ListenerLimits, peer: str, now: float
    ) -> ClientConnection:
        self.refused += 1
        max_refused = max(1, int(limits.max_connections * _MAX_REFUSED_SHARE))
        admission = Admission.DROPPED
        if self._refused_connections[listener] < max_refused:
            self._refused_connections[listener] += 1
            admission = Admission.REFUSED
        return ClientConnection(listener, peer, admission, now, held_bytes=0)

    def _evict(self, connection: ClientConnection) -> None:
        self.evicted += 1
        self.close(connection)

    def _find_evictable(
        self,
        search: tuple[str, str],
        connections: Iterable[ClientConnection],
        now: float,
    ) -> ClientConnection | None:
        """Return the connection that may be closed since the longest time.

        :param search: names the set of connections
        :param connections: connections to choose from
        :param now: current time, seconds
        """
        if now < self._next_searches.get(search, -inf):
            return None
        first, evictable_from = None, inf
        for connection in connections:
            age_s = _EVICTION_AGES_S.get(connection.phase, inf)
            if connection.since + age_s < evictable_from:
                first = connection
                evictable_from = connection.since + age_s
        if evictable_from <= now:
            return first
        # New and changed connections become evictable later than this,
        # except for closing ones, which make room themselves.
        self._next_searches[search] = min(evictable_from, now + 1.0)
        return None
