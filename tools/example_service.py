"""Service of an example, as a caller sees it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ruamel.yaml import YAML

from carawaystep.document.service_kind import ServiceKind

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class ExampleService:
    """Properties of a service that decide how it is called.

    :param name: name of the service
    :param kind: latency-critical, batch or standing
    :param idempotent: whether a request may run more than once
    :param deadline_s: default deadline of a request, seconds
    """

    name: str
    kind: ServiceKind
    idempotent: bool = True
    deadline_s: float = 2.0


def load_services(directory: Path) -> tuple[ExampleService, ...]:
    """Read the documents of an example.

    Reads only the fields that callers need, without validation: the entries
    validate the documents.
    """
    services = []
    for path in sorted(directory.glob("*.yaml")):
        content = YAML(typ="safe", pure=True).load(path)
        requests = content.get("requests", {})
        services.append(
            ExampleService(
                content["service"],
                ServiceKind(content["kind"]),
                requests.get("idempotent", True),
                requests.get("deadline_s", 2.0),
            )
        )
    return tuple(services)
