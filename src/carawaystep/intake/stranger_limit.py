"""Limit of connections whose peer has not shown who it is."""

from __future__ import annotations

# Processes of the system send their first message at once, and few of them
# connect at the same time.
_MAX_STRANGERS = 4
RECOGNITION_TIMEOUT_S = 2.0


class StrangerLimit:
    """Decides which connections to the port between processes are closed.

    It answers strangers that connect in crowds, send what is no message, or
    never finish one. A connection on which a message has arrived belongs to
    a process of the system; the others are few and end after some time. A
    newcomer replaces the oldest of them, so that strangers who stay do not
    keep out a process.
    """

    def __init__(self) -> None:
        """Create a limit without connections."""
        self._strangers: dict[int, float] = {}

    @property
    def has_strangers(self) -> bool:
        """Tell whether a connection has not been recognized yet."""
        return bool(self._strangers)

    def accept(self, descriptor: int, now: float) -> int | None:
        """Add a connection.

        :param descriptor: its file descriptor
        :param now: current time, seconds
        :returns: descriptor of a connection to close, None for none
        """
        self._strangers.pop(descriptor, None)
        self._strangers[descriptor] = now
        if len(self._strangers) <= _MAX_STRANGERS:
            return None
        oldest = next(iter(self._strangers))
        del self._strangers[oldest]
        return oldest

    def recognize(self, descriptor: int) -> None:
        """Record that a message has arrived on a connection."""
        self._strangers.pop(descriptor, None)

    def end(self, descriptor: int) -> None:
        """Remove a connection that has ended."""
        self._strangers.pop(descriptor, None)

    def expire(self, now: float) -> list[int]:
        """Remove the connections that were not recognized in time.

        :param now: current time, seconds
        :returns: descriptors of connections to close
        """
        expired = [
            descriptor
            for descriptor, accepted_at in self._strangers.items()
            if accepted_at + RECOGNITION_TIMEOUT_S <= now
        ]
        for descriptor in expired:
            del self._strangers[descriptor]
        return expired
