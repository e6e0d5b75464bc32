"""Parsing and validation of service documents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaystep.document.service_document import ServiceDocument
from carawaystep.document.service_kind import ServiceKind
from carawaystep.document.service_spec import ServiceSpec
from carawaystep.validation.yaml_model_loader import load_yaml_model
from carawaystep.worker.resources import Resources

if TYPE_CHECKING:
    from result import Result

    from carawaystep.validation.problem import Problem

# Parsing blocks the event loop that also serves requests. The slowest known
# text takes 10 s to parse at 256 KiB and 0.9 s at 16 KiB.
MAX_DOCUMENT_BYTES = 16 * 1024


def load_document(
    text: str, source: str, version: int
) -> Result[ServiceSpec, tuple[Problem, ...]]:
    """Parse and validate the YAML text of a service document.

    :param text: YAML text
    :param source: name of the file or service to report in problems
    :param version: row version of the text, 0 if it is not stored
    :returns: the validated content, or all problems found
    """
    loaded = load_yaml_model(text, source, ServiceDocument, MAX_DOCUMENT_BYTES)
    return loaded.map(lambda document: _to_spec(document, version))


def _to_spec(document: ServiceDocument, version: int) -> ServiceSpec:
    is_batch = document.kind is ServiceKind.BATCH
    is_standing = document.kind is ServiceKind.STANDING
    return ServiceSpec(
        service=document.service,
        version=version,
        team=document.team,
        kind=document.kind,
        urgency=document.urgency,
        needs=Resources(
            document.needs.cpu,
            document.needs.memory_mb,
            document.needs.accelerators,
        ),
        deadline_s=document.requests.deadline_s,
        idempotent=document.requests.idempotent,
        max_body_bytes=document.requests.max_body_bytes,
        queue_limit=document.requests.queue_limit,
        run_s=document.batch.run_s if is_batch else None,
        due_s=document.batch.due_s,
        max_attempts=document.batch.max_attempts,
        evictable=document.batch.evictable,
        replicas=document.standing.replicas if is_standing else 0,
    )
