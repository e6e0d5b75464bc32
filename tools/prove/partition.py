"""A partition as one relay sees it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, eq=False)
class Partition:
    """Whose connections are cut.

    :param sources: processes that opened the connections, None for all
    """

    sources: frozenset[str] | None = None

    def holds(self, source: str | None) -> bool:
        """Tell whether connections of a source are cut.

        A source that is not known yet passes, since entries say who they are
        only after the handshake.
        """
        return self.sources is None or source in self.sources
