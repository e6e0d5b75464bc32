"""Links between nodes and workers, with cuts in one or both directions."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

_MAX_DELAY_S = 0.003


class SimulatedNetwork:
    """Delivers messages in order on each link.

    A message on a link that is cut waits for the link to be restored, as
    TCP sends it again: it arrives late.
    """

    def __init__(self, random: Random) -> None:
        """Create a network without cuts.

        :param random: source of all random decisions
        """
        self._random = random
        self._cuts: set[tuple[str, str]] = set()
        self._waiting: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self._last_arrival_at: dict[object, float] = {}

    def cut(self, source: str, target: str) -> None:
        """Cut the link from one endpoint to another."""
        self._cuts.add((source, target))

    def restore(self, source: str, target: str) -> None:
        """Restore a link and deliver the messages that wait for it."""
        self._cuts.discard((source, target))
        for deliver in self._waiting.pop((source, target), ()):
            deliver()

    def restore_all(self) -> None:
        """Restore all links."""
        for source, target in sorted(self._cuts):
            self.restore(source, target)

    def is_cut(self, source: str, target: str) -> bool:
        """Tell whether the link from one endpoint to another is cut."""
        return (source, target) in self._cuts

    def draw_delay_s(self) -> float:
        """Return the delay of one message in seconds."""
        return self._random.uniform(0.0005, _MAX_DELAY_S)

    def transmit(
        self,
        source: str,
        target: str,
        connection: object,
        deliver: Callable[[], None],
    ) -> None:
        """Deliver a message after all earlier ones of its connection.

        :param connection: connection and direction
        """
        loop = asyncio.get_running_loop()
        arrival_at = max(
            self._last_arrival_at.get(connection, 0.0),
            loop.time() + self.draw_delay_s(),
        )
        self._last_arrival_at[connection] = arrival_at

        def arrive() -> None:
            if self.is_cut(source, target):
                waiting = self._waiting.setdefault((source, target), [])
                waiting.append(deliver)
            else:
                deliver()

        loop.call_at(arrival_at, arrive)
