"""Checks of the service named in a call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok

from carawaystep.adapters.http.http_error import HttpError
from carawaystep.adapters.http.statuses import retry_headers

if TYPE_CHECKING:
    from result import Result

    from carawaystep.document.service_kind import ServiceKind
    from carawaystep.document.service_spec import ServiceSpec
    from carawaystep.entry.entry_service import EntryService


def find_service_spec(
    service: EntryService, name: str, kind: ServiceKind
) -> Result[ServiceSpec, HttpError]:
    """Return the spec of a service if it has the required kind.

    A service of another kind gives status 404, as an unknown service does,
    so that status 409 for a request always means that the request may have
    run before.

    :param service: the entry
    :param name: name of the service in the path
    :param kind: required kind
    :returns: the spec, or an error with status 404 or 503
    """
    if not service.ready:
        return Err(
            HttpError(
                503,
                "not-ready",
                "this entry accepts no work now; send the call to another"
                " entry",
                retry_headers(503),
            )
        )
    spec = service.spec(name)
    if spec is None:
        return Err(
            HttpError(
                404,
                "unknown-service",
                "no document of this service is in force; check the name or"
                " write its document",
            )
        )
    if spec.kind is not kind:
        return Err(
            HttpError(
                404,
                "wrong-kind",
                f"the service {name} is of kind {spec.kind}, but this call"
                f" requires kind {kind}; see docs/callers.md",
            )
        )
    return Ok(spec)
