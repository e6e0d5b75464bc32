"""Result of a committed transaction."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TableCommit:
    """A committed transaction.

    :param revision: revision of the table service after the commit
    :param versions: version of each operation's row after the commit, in the
        order of the operations
    """

    revision: int
    versions: tuple[int, ...]
