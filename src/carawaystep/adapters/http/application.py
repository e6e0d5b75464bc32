"""Assembly of the HTTP front end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.middleware import Middleware

from carawaystep.adapters.http.authenticator import Authenticator
from carawaystep.adapters.http.call_runner import CallRunner
from carawaystep.adapters.http.document_handlers import DocumentHandlers
from carawaystep.adapters.http.handler_context import HandlerContext
from carawaystep.adapters.http.http_error import HttpError
from carawaystep.adapters.http.internal_error_middleware import (
    InternalErrorMiddleware,
)
from carawaystep.adapters.http.internal_error_reporter import (
    InternalErrorReporter,
)
from carawaystep.adapters.http.job_handlers import JobHandlers
from carawaystep.adapters.http.lingering_close_middleware import (
    LingeringCloseMiddleware,
)
from carawaystep.adapters.http.operation_handlers import OperationHandlers
from carawaystep.adapters.http.replies import error_reply
from carawaystep.adapters.http.request_handlers import RequestHandlers

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette.requests import Request
    from starlette.responses import Response

    from carawaystep.access.token_table import TokenTable
    from carawaystep.adapters.metrics.process_metrics import ProcessMetrics
    from carawaystep.entry.entry_service import EntryService
    from carawaystep.errors.broken_invariant import BrokenInvariant
    from carawaystep.settings.entry_settings import EntrySettings

_ROUTING_ERRORS = {
    404: ("not-found", "this path does not exist; see docs/callers.md"),
    405: (
        "method-not-allowed",
        "this path does not support this method; use one that the Allow"
        " header lists",
    ),
}


def create_app(
    service: EntryService,
    tokens: TokenTable,
    settings: EntrySettings,
    metrics: ProcessMetrics,
    on_broken_invariant: Callable[[BrokenInvariant], None],
) -> Starlette:
    """Create the ASGI application that serves callers and operators.

    :param service: the entry
    :param tokens: accepted tokens
    :param settings: settings of the entry, with limits of bodies and
        deadlines
    :param metrics: receives counts and is served at ``/metrics``
    :param on_broken_invariant: called with a broken invariant; must stop the
        process
    """
    error_reporter = InternalErrorReporter(metrics, on_broken_invariant)
    context = HandlerContext(
        service,
        Authenticator(tokens),
        CallRunner(error_reporter),
        settings,
        metrics,
    )
    app = Starlette(
        routes=[
            *RequestHandlers(context).routes(),
            *JobHandlers(context).routes(),
            *DocumentHandlers(context).routes(),
            *OperationHandlers(context).routes(),
        ],
        middleware=[
            Middleware(LingeringCloseMiddleware),
            Middleware(InternalErrorMiddleware, error_reporter=error_reporter),
        ],
        exception_handlers={HTTPException: _handle_routing_error},
    )
    app.router.redirect_slashes = False
    return app


async def _handle_routing_error(
    request: Request, error: Exception
) -> Response:
    if not isinstance(error, HTTPException):
        raise error
    code, detail = _ROUTING_ERRORS.get(
        error.status_code, ("bad-request", "see docs/callers.md")
    )
    headers = dict(error.headers or {})
    return error_reply(HttpError(error.status_code, code, detail, headers))
