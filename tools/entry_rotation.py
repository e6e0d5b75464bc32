"""Round-robin selection of entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class EntryRotation:
    """Distributes calls round-robin, in place of the callers' load balancer.

    An entry that refuses connections is removed, as a load balancer removes
    one that fails its health check.
    """

    def __init__(self, urls: Iterable[str]) -> None:
        """Create a rotation.

        :param urls: base URLs of the entries
        """
        self._urls = list(urls)

    @property
    def urls(self) -> tuple[str, ...]:
        """Return the URLs of the entries that are up, the next one first."""
        return tuple(self._urls)

    def next_urls(self, count: int = 1) -> tuple[str, ...]:
        """Return the URLs of the next entries, each entry at most once.

        :param count: number of entries; fewer are returned when fewer are up
        """
        selected = self._urls[:count]
        self._urls = self._urls[count:] + selected
        return tuple(selected)

    def mark_up(self, url: str) -> None:
        """Add an entry unless it is present."""
        if url not in self._urls:
            self._urls.append(url)

    def mark_down(self, url: str) -> None:
        """Remove an entry if it is present."""
        if url in self._urls:
            self._urls.remove(url)
