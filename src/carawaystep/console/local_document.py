"""A service document in a local file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from carawaystep.document.service_spec import ServiceSpec


@dataclass(frozen=True, slots=True)
class LocalDocument:
    """A valid service document in a file.

    :param path: path of the file
    :param text: YAML text of the file
    :param spec: validated content of the text
    """

    path: Path
    text: str
    spec: ServiceSpec

    @property
    def service(self) -> str:
        """Return the name of the service in the text."""
        return self.spec.service
