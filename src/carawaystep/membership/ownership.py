"""Ownership of a worker."""

from __future__ import annotations

from dataclasses import dataclass


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
