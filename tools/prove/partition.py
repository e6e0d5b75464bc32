"""A network partition at one relay."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, eq=False)
class Partition:
    """Set of sources whose connections a relay cuts.

    :param sources: processes that opened the connections, None for all
    """

    sources: frozenset[str] | None = None

    def applies_to(self, source: str | None) -> bool:
        """Tell whether connections of a source are cut.

        Bytes of a source that is not known yet pass, since an entry sends its
        name only after the handshake.
        """
        return self.sources is None or source in self.sources
