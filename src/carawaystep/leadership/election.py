"""The result of a won election."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Election:
    """A term and the nodes that may still act for an earlier one.

    :param term: number of the term, which is the leader row's version
    :param predecessors: addresses of the nodes whose leases as leaders may
        not have expired at the election; an empty address stands for a
        leader whose address is not known
    """

    term: int
    predecessors: frozenset[str] = frozenset()
