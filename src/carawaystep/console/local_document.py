"""A document in a file of the operator."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class LocalDocument:
    """A valid document.

    :param path: its file
    :param text: YAML text
    :param service: service that the text names
    """

    path: Path
    text: str
    service: str
