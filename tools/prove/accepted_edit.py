"""An accepted change of a document."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AcceptedEdit:
    """A version that an operator was told to be stored.

    :param service: service of the document
    :param version: its version
    :param text: its text
    :param accepted_at: when the operator learned of it, seconds of the
        monotonic clock
    """

    service: str
    version: int
    text: str
    accepted_at: float
