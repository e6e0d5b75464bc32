"""Identifies the entry that opened a connection to another one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class SourceFinder:
    """Finds the name of the sending entry in the bytes of a connection.

    All processes share one loopback address, so the address does not identify
    the source. The first message on a link is a heartbeat, which begins with
    the name of its sender.
    """

    def __init__(self, names: Iterable[str]) -> None:
        """Create a finder.

        :param names: entries that may open connections
        """
        self._names = {name: name.encode() for name in names}

    def find_source(self, data: bytes) -> str | None:
        """Return the name that occurs first in the bytes, None for none."""
        found = [
            (position, name)
            for name, encoded in self._names.items()
            if (position := data.find(encoded)) >= 0
        ]
        return min(found)[1] if found else None
