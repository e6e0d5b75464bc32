"""Ownership of a worker."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace


@dataclass(frozen=True, slots=True)
class Ownership:
    """A row of the table ``owners``.

    :param worker: name of the worker
    :param entry: name of the owning entry
    :param incarnation: process of that entry
    :param epoch: rises with each change of owner
    :param version: row version, 0 when the worker never had an owner
    """

    worker: str
    entry: str
    incarnation: str
    epoch: int
    version: int

    def at_version(self, version: int) -> Ownership:
        """Return the ownership as stored under a row version."""
        return replace(self, version=version)
