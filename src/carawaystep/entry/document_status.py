"""Status of a document across entries."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DocumentStatus:
    """Shows in which live entries a document is in force.

    :param version: row version of the document
    :param revision: revision of the platform's tables that an entry must have
        applied for this version to be in force there
    :param entries: applied revision by entry name
    :param in_force: True when every live entry has reached ``revision``
    """

    version: int
    revision: int
    entries: dict[str, int]
    in_force: bool
