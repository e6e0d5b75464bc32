"""Reasons for which a stand-in worker refuses a call."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused call, which had no effect.

    :param detail: human-readable reason
    """

    detail: str


@dataclass(frozen=True, slots=True)
class EpochRefused(Refusal):
    """The epoch of the call is not the one that the worker accepts.

    A fence call is refused with an epoch below that of the last fence, any
    other call with an epoch that differs from it or without a fence.

    :param epoch: epoch of the last accepted fence, 0 if none
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class InsufficientCapacity(Refusal):
    """The execution would exceed the free slots or resources."""


@dataclass(frozen=True, slots=True)
class WorkerLeaving(Refusal):
    """The worker is leaving the fleet."""


@dataclass(frozen=True, slots=True)
class UnknownTask(Refusal):
    """The worker never ran this attempt."""


@dataclass(frozen=True, slots=True)
class LeaseExpired(Refusal):
    """The lease of a task expired before its start call arrived."""
