"""Result of storing a document."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DocumentCommit:
    """A document that was stored.

    :param version: new row version of the document
    :param revision: revision of the platform's tables after the write
    """

    version: int
    revision: int
