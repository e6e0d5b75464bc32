"""An accepted document."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DocumentCommit:
    """Result of writing a document.

    :param version: its new row version
    :param revision: platform revision of the write
    """

    version: int
    revision: int
