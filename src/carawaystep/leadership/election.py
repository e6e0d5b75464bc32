"""The result of a won election."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True)
class Election:
    """A term and the nodes that may still act for an earlier one.

    :param term: number of the term, which is the leader row's version
    :param predecessors: by address of a node that led before, the seconds
        from the election after which its lease as the leader has ended; an
        empty address stands for a leader whose address is not known
    :param predecessors_need_majority: whether these nodes give grants only
        while the store or a majority of the stored voters confirms their term
    """

    term: int
    predecessors: Mapping[str, float] = field(default_factory=dict)
    predecessors_need_majority: bool = False
