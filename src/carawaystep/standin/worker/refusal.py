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
    """The worker was fenced with a higher epoch.

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
