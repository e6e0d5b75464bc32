"""Processes whose answers show that a leader was not replaced."""

from __future__ import annotations

from typing import NamedTuple


class Voter(NamedTuple):
    """One process of a member.

    :param address: ZeroMQ address of the member's node
    :param incarnation: id of the process, different after a restart
    """

    address: str
    incarnation: str


VoterSet = frozenset[Voter]


def majority(voters: VoterSet) -> int:
    """Return how many voters a leader needs."""
    return len(voters) // 2 + 1
