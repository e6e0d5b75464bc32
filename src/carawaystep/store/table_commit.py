"""Result of a committed transaction."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TableCommit:
    """A committed transaction.

    :param revision: revision of the table service after it
    :param versions: new version of each operation's row, in order
    """

    revision: int
    versions: tuple[int, ...]
