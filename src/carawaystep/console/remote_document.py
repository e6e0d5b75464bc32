"""A document as an entry returns it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RemoteDocument:
    """A document in force in the asked entry.

    :param service: name of the service
    :param version: row version, 0 when there is no document
    :param text: YAML text
    """

    service: str
    version: int
    text: str
