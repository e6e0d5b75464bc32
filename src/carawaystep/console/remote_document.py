"""A service document returned by an entry."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RemoteDocument:
    """The document of a service that is in force in the queried entry.

    The version in force is the one by which the entry makes its decisions.

    :param service: name of the service
    :param version: version of the document, 0 if there is none
    :param text: YAML text, empty if there is no document
    """

    service: str
    version: int
    text: str
