"""Names of the fields of service documents in findings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.configuration_check.configured_field import ConfiguredField
from carawaystep.configuration_check.field_paths import FieldPaths

if TYPE_CHECKING:
    from carawaystep.configuration_check.location import Location

_NAMES = {
    ConfiguredField.CPU: "needs.cpu",
    ConfiguredField.MEMORY: "needs.memory_mb",
    ConfiguredField.ACCELERATORS: "needs.accelerators",
    ConfiguredField.RUN_TIME: "batch.run_s",
    ConfiguredField.DUE_TIME: "batch.due_s",
    ConfiguredField.MAX_ATTEMPTS: "batch.max_attempts",
    ConfiguredField.KIND: "kind",
    ConfiguredField.TEAM: "team",
    ConfiguredField.URGENCY: "urgency",
    ConfiguredField.REPLICAS: "standing.replicas",
    ConfiguredField.IDEMPOTENT: "requests.idempotent",
    ConfiguredField.REQUEST_DEADLINE: "requests.deadline_s",
    ConfiguredField.QUEUE_LIMIT: "requests.queue_limit",
    ConfiguredField.MAX_BODY: "requests.max_body_bytes",
}


class DocumentPaths(FieldPaths):
    """Paths in documents, of which each describes work of one kind."""

    def __init__(self, sources: tuple[str, ...]) -> None:
        """Create the names.

        :param sources: name of the file of each document
        """
        self._sources = sources

    def path(self, location: Location) -> str:
        """Return file and key, such as ``documents/a.yaml: needs.cpu``."""
        source = self._sources[location.position]
        if location.field is None:
            return source
        return f"{source}: {_NAMES[location.field]}"
