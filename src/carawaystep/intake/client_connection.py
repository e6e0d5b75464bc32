"""A connection of a client, as the account of clients sees it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from carawaystep.intake.client_limits import CONNECTION_BYTES


class ConnectionPhase(StrEnum):
    """What a connection is waiting for."""

    FIRST_REQUEST = "first-request"
    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"
    READER = "reader"
    NEXT_REQUEST = "next-request"
    CLOSE = "close"


class Admission(StrEnum):
    """Decision about a new connection.

    A refused one gets a response before it is closed, a dropped one does
    not.
    """

    ADMITTED = "admitted"
    REFUSED = "refused"
    DROPPED = "dropped"


@dataclass(eq=False, slots=True)
class ClientConnection:
    """State of one connection.

    :ivar listener: name of the listening address
    :ivar peer: address of the client
    :ivar admission: decision when it was opened
    :ivar phase: what it is waiting for
    :ivar since: time at which the phase began, seconds
    :ivar held_bytes: memory charged to it
    """

    listener: str
    peer: str
    admission: Admission
    since: float
    phase: ConnectionPhase = ConnectionPhase.FIRST_REQUEST
    held_bytes: int = CONNECTION_BYTES

    def enter(self, phase: ConnectionPhase, now: float) -> None:
        """Change the phase; the same phase goes on.

        :param now: current time, seconds
        """
        if phase is not self.phase:
            self.phase = phase
            self.since = now
