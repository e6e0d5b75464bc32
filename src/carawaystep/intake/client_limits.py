"""Limits of what all clients together may hold of a process."""

from __future__ import annotations

from dataclasses import dataclass

_BYTES_PER_MB = 1_000_000

# The smallest machine that the platform provides.
_DEFAULT_MEMORY_MB = 200
_DEFAULT_DESCRIPTORS = 4100

# Files and standard streams; connections share the remaining descriptors.
_FILE_DESCRIPTORS = 200

# Objects of a connection with a request in progress.
CONNECTION_BYTES = 32_768

_MIN_CONNECTIONS = 8
_MIN_BACKLOG = 8
_MIN_ACCEPT_BATCH = 4
_MAX_PEER_SHARE = 0.75
_OPERATIONS_SHARE = 0.125


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of the connections to one listening address.

    :param max_connections: connections of all peers
    :param backlog: connections that wait to be accepted
    :param accept_batch: connections that are accepted at once, before any
        of them can be refused
    """

    max_connections: int
    backlog: int
    accept_batch: int

    @property
    def max_peer_connections(self) -> int:
        """Return the maximum number of connections from one peer address.

        The remaining ones stay free for other peers. Behind a proxy all
        callers have one address, so that this is a large share.
        """
        return max(1, int(self.max_connections * _MAX_PEER_SHARE))


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits of the memory and the connections of clients.

    :param max_bytes: memory that clients may hold
    :param front: limits of the address for callers
    :param operations: limits of each address for readiness checks and
        metrics
    """

    max_bytes: int
    front: ListenerLimits
    operations: ListenerLimits

    @property
    def max_body_bytes(self) -> int:
        """Return the memory above which no further body is read.

        The remainder is for calls without a body, such as state calls.
        """
        return self.max_bytes * 7 // 8

    @classmethod
    def for_machine(
        cls,
        memory_mb: int = _DEFAULT_MEMORY_MB,
        descriptors: int = _DEFAULT_DESCRIPTORS,
        max_mb: int = 0,
        max_connections: int = 0,
    ) -> ClientLimits:
        """Return the limits for a machine.

        A quarter of the memory is for clients, and half of that for the
        connections as such. Half of the descriptors of connections is for
        clients; workers, members and the store share the other half.

        :param memory_mb: memory of the process
        :param descriptors: descriptors of the process
        :param max_mb: memory for clients, 0 for a quarter of the process's
        :param max_connections: connections of callers, 0 to derive it
        """
        max_bytes = (max_mb or memory_mb / 4) * _BYTES_PER_MB
        sockets = max(0, descriptors - _FILE_DESCRIPTORS)
        connections = max_connections or max(
            _MIN_CONNECTIONS,
            min(sockets // 2, int(max_bytes) // 2 // CONNECTION_BYTES),
        )
        backlog = max(_MIN_BACKLOG, sockets // 16)
        accept_batch = max(_MIN_ACCEPT_BATCH, sockets // 64)
        operations = ListenerLimits(
            max(_MIN_CONNECTIONS, int(connections * _OPERATIONS_SHARE)),
            max(_MIN_BACKLOG, int(backlog * _OPERATIONS_SHARE)),
            _MIN_ACCEPT_BATCH,
        )
        front = ListenerLimits(connections, backlog, accept_batch)
        return cls(int(max_bytes), front, operations)
