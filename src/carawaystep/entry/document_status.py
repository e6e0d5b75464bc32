"""Where a document is in force."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DocumentStatus:
    """Revisions in force in each known live entry.

    :param version: version of the document at the asked entry
    :param revision: revision up to which documents must be in force
    :param entries: revision in force by entry name
    :param in_force: True when every live entry has reached ``revision``
    """

    version: int
    revision: int
    entries: dict[str, int]
    in_force: bool
