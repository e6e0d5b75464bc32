"""Earlier leaders that may not know yet that they were replaced."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class Predecessors:
    """Tracks which earlier leaders may still extend leases.

    A process stops leading when it follows a higher term, and a process that
    uses the address of an earlier one proves that the earlier one has ended.
    A predecessor has therefore stopped once a process at its address follows
    the current term.
    """

    def __init__(self, addresses: Iterable[str]) -> None:
        """Create the predecessors of a term that nobody follows yet.

        :param addresses: addresses of their nodes
        """
        self._active = set(addresses)

    def record_follower(self, address: str) -> bool:
        """Record that the process at an address follows the term.

        :returns: whether it was the last predecessor that was not known to
            have stopped
        """
        if address not in self._active:
            return False
        self._active.remove(address)
        return not self._active
