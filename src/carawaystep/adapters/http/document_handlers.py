"""Handlers of service documents."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from starlette.routing import Route

from carawaystep.access.role import Role
from carawaystep.adapters.http.authenticator import forbidden
from carawaystep.adapters.http.body_reader import read_body
from carawaystep.adapters.http.call_headers import check_content_headers
from carawaystep.adapters.http.document_commit_view import DocumentCommitView
from carawaystep.adapters.http.document_list_view import DocumentListView
from carawaystep.adapters.http.document_status_view import DocumentStatusView
from carawaystep.adapters.http.document_view import DocumentView
from carawaystep.adapters.http.handler_context import CALL_TIMEOUT_S
from carawaystep.adapters.http.http_error import HttpError
from carawaystep.adapters.http.replies import error_reply
from carawaystep.adapters.http.replies import model_reply
from carawaystep.adapters.http.statuses import to_http_error
from carawaystep.settings.entry_settings import NAME_PATTERN

if TYPE_CHECKING:
    from result import Result
    from starlette.requests import Request
    from starlette.responses import Response

    from carawaystep.access.grant import Grant
    from carawaystep.adapters.http.handler_context import HandlerContext

# The maximum size of a document, MAX_TEXT_BYTES of the YAML loader.
_MAX_BODY_BYTES = 4 * 64 * 1024
_CONTENT_TYPES = (
    "application/yaml",
    "application/x-yaml",
    "text/yaml",
    "text/plain",
)
_NAME_PATTERN = re.compile(NAME_PATTERN)
_VERSION_PATTERN = re.compile(r"[0-9]{1,15}")


class DocumentHandlers:
    """Serves ``/v1/documents`` and the paths below it."""

    def __init__(self, context: HandlerContext) -> None:
        """Create the handlers.

        :param context: dependencies of the handlers
        """
        self._context = context

    def routes(self) -> list[Route]:
        """Return the routes."""
        document_path = "/v1/documents/{service}"
        return [
            Route("/v1/documents", self.list_all, methods=["GET"]),
            Route(
                document_path, self.get_or_put_document, methods=["GET", "PUT"]
            ),
            Route(f"{document_path}/status", self.status, methods=["GET"]),
        ]

    async def list_all(self, request: Request) -> Response:
        """Return the documents in force that the token covers."""
        grant = self._authorize(request)
        if isinstance(grant, Err):
            return error_reply(grant.err_value)
        views = [
            DocumentView.from_document(document)
            for document in self._context.service.documents()
            if grant.ok_value.covers_service(document.service)
        ]
        return model_reply(DocumentListView(documents=views))

    async def get_or_put_document(self, request: Request) -> Response:
        """Return or write one document."""
        name = request.path_params["service"]
        grant = self._authorize(request, name)
        if isinstance(grant, Err):
            return error_reply(grant.err_value)
        if request.method == "PUT":
            return await self._put_document(request, name, grant.ok_value)
        for document in self._context.service.documents():
            if document.service == name:
                return model_reply(DocumentView.from_document(document))
        return error_reply(_unknown_document())

    async def status(self, request: Request) -> Response:
        """Return the entries in which a document is in force."""
        name = request.path_params["service"]
        grant = self._authorize(request, name)
        if isinstance(grant, Err):
            return error_reply(grant.err_value)
        if not _NAME_PATTERN.fullmatch(name):
            return error_reply(_unknown_document())
        result = await self._context.runner.run(
            self._context.service.document_status(name), CALL_TIMEOUT_S
        )
        if isinstance(result, Err):
            return error_reply(result.err_value)
        if isinstance(result.ok_value, Err):
            return error_reply(to_http_error(result.ok_value.err_value))
        status = result.ok_value.ok_value
        return model_reply(
            DocumentStatusView(
                version=status.version,
                revision=status.revision,
                entries=status.entries,
                in_force=status.in_force,
            )
        )

    async def _put_document(
        self, request: Request, name: str, grant: Grant
    ) -> Response:
        error = self._check_team(name, grant) or check_content_headers(
            request, _CONTENT_TYPES
        )
        if error is not None:
            return error_reply(error)
        expected = _parse_expected_version(request)
        if isinstance(expected, Err):
            return error_reply(expected.err_value)
        text = await self._read_text(request)
        if isinstance(text, Err):
            return error_reply(text.err_value)
        result = await self._context.runner.run(
            self._context.service.put_document(
                name, text.ok_value, expected.ok_value, grant.document_team
            ),
            CALL_TIMEOUT_S,
        )
        if isinstance(result, Err):
            return error_reply(result.err_value)
        if isinstance(result.ok_value, Err):
            failure = result.ok_value.err_value
            return error_reply(to_http_error(failure, include_version=True))
        commit = result.ok_value.ok_value
        return model_reply(
            DocumentCommitView(
                version=commit.version, revision=commit.revision
            )
        )

    async def _read_text(self, request: Request) -> Result[str, HttpError]:
        body = await read_body(
            request,
            _MAX_BODY_BYTES,
            self._context.settings.requests.body_timeout_s,
        )
        if isinstance(body, Err):
            return body
        try:
            return Ok(body.ok_value.decode("utf-8"))
        except UnicodeDecodeError:
            return Err(
                HttpError(
                    400,
                    "invalid",
                    "the document is not valid UTF-8; convert it",
                )
            )

    def _check_team(self, name: str, grant: Grant) -> HttpError | None:
        """Return the error for a write to another team's document, else None.

        The entry service checks only the team that the new text names.
        Without this check, an operator could take over a service by writing
        a document that names the operator's own team.
        """
        if not _NAME_PATTERN.fullmatch(name):
            return HttpError(
                400,
                "invalid",
                "the name of a service has 1 to 63 characters of a-z, 0-9"
                " and -; rename it",
            )
        spec = self._context.service.spec(name)
        if spec is None or grant.may_write_documents_of(spec.team):
            return None
        return forbidden(
            f"the document belongs to the team {spec.team}; ask one of its"
            " operators"
        )

    def _authorize(
        self, request: Request, service: str | None = None
    ) -> Result[Grant, HttpError]:
        return self._context.authenticator.authorize(
            request, Role.OPERATOR, service=service
        )


def _parse_expected_version(request: Request) -> Result[int, HttpError]:
    values = request.query_params.getlist("expected")
    if len(values) == 1 and _VERSION_PATTERN.fullmatch(values[0]):
        return Ok(int(values[0]))
    return Err(
        HttpError(
            400,
            "bad-expected",
            "add ?expected=N with the version that the document replaces, 0"
            " for a new one",
        )
    )


def _unknown_document() -> HttpError:
    return HttpError(
        404,
        "not-found",
        "no document of this service is in force; check the name",
    )
