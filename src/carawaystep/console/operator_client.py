"""HTTP client of the operator interface of an entry."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

from aiosonic import HTTPClient
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts
from pydantic import TypeAdapter
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from carawaystep.console.operator_client_failure import FailureKind
from carawaystep.console.operator_client_failure import OperatorClientFailure
from carawaystep.console.remote_document import RemoteDocument
from carawaystep.entry.document_commit import DocumentCommit
from carawaystep.entry.document_status import DocumentStatus

if TYPE_CHECKING:
    from types import TracebackType

T = TypeVar("T")

_CALL_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class _ConflictBody:
    version: int


@dataclass(frozen=True, slots=True)
class _ErrorBody:
    error: str
    detail: str = ""


_DOCUMENT_ADAPTER = TypeAdapter(RemoteDocument)
_COMMIT_ADAPTER = TypeAdapter(DocumentCommit)
_STATUS_ADAPTER = TypeAdapter(DocumentStatus)
_CONFLICT_ADAPTER = TypeAdapter(_ConflictBody)
_ERROR_ADAPTER = TypeAdapter(_ErrorBody)


class OperatorClient:
    """Reads and writes documents through one entry."""

    def __init__(self, url: str, token: str) -> None:
        """Create a client, to be used as an asynchronous context manager.

        :param url: base URL of an entry
        :param token: bearer token of an operator
        """
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"}
        self._http = HTTPClient()

    async def __aenter__(self) -> OperatorClient:
        """Return the client."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self._http.__aexit__(kind, error, traceback)

    async def get_document(
        self, service: str
    ) -> Result[RemoteDocument, OperatorClientFailure]:
        """Return the document of a service.

        :param service: name of the service
        :returns: the document, with version 0 if there is none
        """
        answer = await self._call("GET", f"/{service}", _DOCUMENT_ADAPTER)
        if (
            isinstance(answer, Err)
            and answer.err_value.kind is FailureKind.NOT_FOUND
        ):
            return Ok(RemoteDocument(service, 0, ""))
        return answer

    async def put_document(
        self, service: str, text: str, expected: int
    ) -> Result[DocumentCommit, OperatorClientFailure]:
        """Write a document if the expected version is current.

        :param service: name of the service
        :param text: YAML text of the document
        :param expected: version to replace, 0 if there must be none
        :returns: the new version, or a failure such as a conflict
        """
        return await self._call(
            "PUT",
            f"/{service}?expected={expected}",
            _COMMIT_ADAPTER,
            text.encode(),
        )

    async def get_status(
        self, service: str
    ) -> Result[DocumentStatus, OperatorClientFailure]:
        """Return in which entries the latest version is in force.

        :param service: name of the service
        """
        return await self._call("GET", f"/{service}/status", _STATUS_ADAPTER)

    async def _call(
        self,
        method: str,
        path: str,
        adapter: TypeAdapter[T],
        body: bytes | None = None,
    ) -> Result[T, OperatorClientFailure]:
        headers = dict(self._headers)
        if body is not None:
            headers["Content-Type"] = "application/yaml"
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                response = await self._http.request(
                    f"{self._url}/v1/documents{path}",
                    method=method,
                    headers=headers,
                    data=body,
                    timeouts=Timeouts(request_timeout=_CALL_TIMEOUT_S),
                )
                content = await response.content()
            if response.status_code == 200:
                return Ok(adapter.validate_json(content))
            return Err(_parse_failure(response.status_code, content))
        except ValidationError:
            reason = "its answer has an unexpected format; check --url"
        except TimeoutError:
            reason = f"no answer within {_CALL_TIMEOUT_S:.0f} s"
        except (AiosonicError, OSError, EOFError, ValueError) as error:
            reason = str(error) or type(error).__name__
        return Err(
            OperatorClientFailure(
                FailureKind.UNREACHABLE,
                f"the call to the entry at {self._url} failed: {reason}",
            )
        )


def _parse_failure(status: int, content: Any) -> OperatorClientFailure:
    if status == 409:
        version = _CONFLICT_ADAPTER.validate_json(content).version
        return OperatorClientFailure(
            FailureKind.CONFLICT, f"version {version} is present", version
        )
    try:
        error_body = _ERROR_ADAPTER.validate_json(content)
        reason = error_body.detail or error_body.error
    except ValidationError:
        reason = "no reason given"
    kind = FailureKind.NOT_FOUND if status == 404 else FailureKind.REFUSED
    # After a failure of the platform or a gateway, a write may still have
    # taken effect.
    if status >= 500:
        kind = FailureKind.UNREACHABLE
    return OperatorClientFailure(
        kind, f"the entry answered {status}: {reason}"
    )
