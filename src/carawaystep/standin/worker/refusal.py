"""Reasons for which a stand-in worker refuses a call."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused call, which had no effect.

    :param detail: sentence for people
    """

    detail: str


@dataclass(frozen=True, slots=True)
class StaleEpoch(Refusal):
    """The epoch of the call is not the fenced one.

    :param epoch: the epoch of the fence
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class NoRoom(Refusal):
    """The execution does not fit beside those that run."""


@dataclass(frozen=True, slots=True)
class Leaving(Refusal):
    """The worker is leaving the fleet."""


@dataclass(frozen=True, slots=True)
class UnknownTask(Refusal):
    """The worker never ran this attempt."""


@dataclass(frozen=True, slots=True)
class LeaseEnded(Refusal):
    """The lease of a task ended before its start arrived."""
