"""An accepted edit of a document."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AcceptedEdit:
    """A document version that an entry reported as stored.

    :param service: service of the document
    :param version: its version
    :param text: its text
    :param accepted_at: when the operator got the response, seconds of the
        monotonic clock
    """

    service: str
    version: int
    text: str
    accepted_at: float
