"""Ownership of a worker by an entry process."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace


@dataclass(frozen=True, slots=True)
class Ownership:
    """Ownership of a worker; ``OwnerRow`` is its stored form.

    :param worker: name of the worker
    :param entry: name of the owning entry
    :param incarnation: id of the owning process
    :param epoch: number that increases with each change of owner
    :param version: row version, 0 if the worker never had an owner
    """

    worker: str
    entry: str
    incarnation: str
    epoch: int
    version: int

    def at_version(self, version: int) -> Ownership:
        """Return a copy with the given row version."""
        return replace(self, version=version)
