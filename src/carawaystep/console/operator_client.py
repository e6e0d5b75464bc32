"""Client of an entry's operator interface."""

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

from carawaystep.console.operator_failure import FailureKind
from carawaystep.console.operator_failure import OperatorFailure
from carawaystep.console.remote_document import RemoteDocument
from carawaystep.entry.document_commit import DocumentCommit
from carawaystep.entry.document_status import DocumentStatus

if TYPE_CHECKING:
    from types import TracebackType

T = TypeVar("T")

_CALL_LIMIT_S = 10.0


@dataclass(frozen=True, slots=True)
class _Conflict:
    version: int


@dataclass(frozen=True, slots=True)
class _Refusal:
    error: str
    detail: str = ""


_DOCUMENT = TypeAdapter(RemoteDocument)
_COMMIT = TypeAdapter(DocumentCommit)
_STATUS = TypeAdapter(DocumentStatus)
_CONFLICT = TypeAdapter(_Conflict)
_REFUSAL = TypeAdapter(_Refusal)


class OperatorClient:
    """Reads and writes documents through one entry."""

    def __init__(self, url: str, token: str) -> None:
        """Create a client; use it as an asynchronous context manager.

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

    async def document(
        self, service: str
    ) -> Result[RemoteDocument, OperatorFailure]:
        """Return a document, version 0 when there is none."""
        answer = await self._call("GET", f"/{service}", _DOCUMENT)
        if (
            isinstance(answer, Err)
            and answer.err_value.kind is FailureKind.NOT_FOUND
        ):
            return Ok(RemoteDocument(service, 0, ""))
        return answer

    async def put(
        self, service: str, text: str, expected: int
    ) -> Result[DocumentCommit, OperatorFailure]:
        """Write a document that replaces the expected version."""
        return await self._call(
            "PUT", f"/{service}?expected={expected}", _COMMIT, text.encode()
        )

    async def status(
        self, service: str
    ) -> Result[DocumentStatus, OperatorFailure]:
        """Return where a document is in force."""
        return await self._call("GET", f"/{service}/status", _STATUS)

    async def _call(
        self,
        method: str,
        path: str,
        answer: TypeAdapter[T],
        body: bytes | None = None,
    ) -> Result[T, OperatorFailure]:
        headers = dict(self._headers)
        if body is not None:
            headers["Content-Type"] = "application/yaml"
        try:
            async with asyncio.timeout(_CALL_LIMIT_S):
                response = await self._http.request(
                    f"{self._url}/v1/documents{path}",
                    method=method,
                    headers=headers,
                    data=body,
                    timeouts=Timeouts(request_timeout=_CALL_LIMIT_S),
                )
                content = await response.content()
            if response.status_code == 200:
                return Ok(answer.validate_json(content))
            return Err(_failure(response.status_code, content))
        except ValidationError:
            reason = "its answer is not understood; check --url"
        except TimeoutError:
            reason = f"no answer within {_CALL_LIMIT_S:.0f} s"
        except (AiosonicError, OSError, EOFError, ValueError) as error:
            reason = str(error) or type(error).__name__
        return Err(
            OperatorFailure(
                FailureKind.UNREACHABLE,
                f"the entry at {self._url} cannot be reached: {reason}",
            )
        )


def _failure(status: int, content: Any) -> OperatorFailure:
    if status == 409:
        version = _CONFLICT.validate_json(content).version
        return OperatorFailure(
            FailureKind.CONFLICT, f"version {version} is present", version
        )
    try:
        refusal = _REFUSAL.validate_json(content)
        reason = refusal.detail or refusal.error
    except ValidationError:
        reason = "no reason given"
    kind = FailureKind.NOT_FOUND if status == 404 else FailureKind.REFUSED
    # A platform or gateway failure leaves open whether a write took effect.
    if status >= 500:
        kind = FailureKind.UNREACHABLE
    return OperatorFailure(kind, f"the entry answered {status}: {reason}")
