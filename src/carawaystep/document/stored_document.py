"""One version of a service document."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.document.service_spec import ServiceSpec


@dataclass(frozen=True, slots=True)
class StoredDocument:
    """A row of the table ``documents``.

    :param service: name of the service
    :param version: row version
    :param text: the YAML text, empty when deleted
    :param spec: its validated content, None when deleted
    """

    service: str
    version: int
    text: str
    spec: ServiceSpec | None
