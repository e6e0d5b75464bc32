"""Checks of the service that a call names."""

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
    """Return the document of a service that takes this kind of work.

    A service of another kind gives 404 like an unknown one, so that 409 on
    a request always means that an earlier run may have happened.

    :param service: the entry
    :param name: name in the path
    :param kind: kind that the call is for
    """
    if not service.ready:
        return Err(
            HttpError(
                503,
                "not-ready",
                "this entry takes no work now; send it to another entry",
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
                f"the service {name} is of the kind {spec.kind} and this"
                f" call is for {kind}; see docs/callers.md",
            )
        )
    return Ok(spec)
