"""A stored version of a service document."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawaystep.document.service_spec import ServiceSpec


@dataclass(frozen=True, slots=True)
class StoredDocument:
    """A version of a service document and its validated content.

    Its row in the table ``documents`` has the same version and holds the text.

    :param service: name of the service
    :param version: row version
    :param text: YAML text, empty if the document is deleted
    :param spec: validated content, None if the document is deleted
    """

    service: str
    version: int
    text: str
    spec: ServiceSpec | None
