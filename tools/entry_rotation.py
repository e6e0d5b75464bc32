"""The entries that a load generator uses in turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class EntryRotation:
    """Stands in for the load balancer of the callers.

    An entry that refuses connections gets no more calls, as one that fails
    the health check of a load balancer.
    """

    def __init__(self, urls: Iterable[str]) -> None:
        """Create a rotation.

        :param urls: base URLs of the entries
        """
        self._urls = list(urls)

    @property
    def urls(self) -> tuple[str, ...]:
        """Return the entries that are up, the next one first."""
        return tuple(self._urls)

    def next_urls(self, count: int = 1) -> tuple[str, ...]:
        """Return the next entries, at most as many as are up."""
        taken = self._urls[:count]
        self._urls = self._urls[count:] + taken
        return tuple(taken)

    def mark_up(self, url: str) -> None:
        """Add an entry that takes calls again."""
        if url not in self._urls:
            self._urls.append(url)

    def mark_down(self, url: str) -> None:
        """Remove an entry."""
        if url in self._urls:
            self._urls.remove(url)
