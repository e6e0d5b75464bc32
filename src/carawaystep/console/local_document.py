"""A service document in a local file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class LocalDocument:
    """A valid service document in a file.

    :param path: path of the file
    :param text: YAML text of the file
    :param service: name of the service in the text
    """

    path: Path
    text: str
    service: str
