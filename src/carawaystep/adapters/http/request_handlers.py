"""Handler of requests of latency-critical services."""

from __future__ import annotations

from secrets import token_hex
from time import monotonic
from typing import TYPE_CHECKING

from result import Err
from result import Ok
from starlette.responses import Response
from starlette.routing import Route

from carawaystep.access.role import Role
from carawaystep.adapters.http.body_reader import read_body
from carawaystep.adapters.http.call_headers import check_content_headers
from carawaystep.adapters.http.call_headers import OUTCOME_HEADER
from carawaystep.adapters.http.call_headers import parse_deadline
from carawaystep.adapters.http.call_headers import parse_idempotency_key
from carawaystep.adapters.http.call_headers import REQUEST_ID_HEADER
from carawaystep.adapters.http.http_error import HttpError
from carawaystep.adapters.http.replies import error_reply
from carawaystep.adapters.http.service_checks import find_service_spec
from carawaystep.adapters.http.statuses import reply_status
from carawaystep.adapters.http.statuses import retry_headers
from carawaystep.document.service_kind import ServiceKind
from carawaystep.entry.request_call import RequestCall
from carawaystep.request.outcome import Outcome
from carawaystep.request.outcome_reason import OutcomeReason

if TYPE_CHECKING:
    from result import Result
    from starlette.requests import Request

    from carawaystep.adapters.http.handler_context import HandlerContext
    from carawaystep.entry.request_result import RequestResult

_CONTENT_TYPES = ("application/json", "application/octet-stream")

# The entry service returns the outcome of a request at its deadline. If it
# takes this much longer, the caller gets the outcome "unknown".
_OUTCOME_TIMEOUT_MARGIN_S = 5.0


class RequestHandlers:
    """Serves ``/v1/services/{service}/requests``."""

    def __init__(self, context: HandlerContext) -> None:
        """Create the handlers.

        :param context: dependencies of the handlers
        """
        self._context = context

    def routes(self) -> list[Route]:
        """Return the routes."""
        path = "/v1/services/{service}/requests"
        return [Route(path, self.post, methods=["POST"])]

    async def post(self, request: Request) -> Response:
        """Run a request and return its outcome."""
        received_at = monotonic()
        not_run_headers = {
            OUTCOME_HEADER: str(Outcome.NOT_RUN),
            REQUEST_ID_HEADER: f"refused-{token_hex(8)}",
        }
        request.state.reply_headers = not_run_headers
        call = await self._read_request(request, received_at)
        if isinstance(call, Err):
            return self._refuse(call.err_value, not_run_headers)
        # From here on, the request may have run when an unexpected exception
        # is raised.
        unknown_headers = {
            **not_run_headers,
            OUTCOME_HEADER: str(Outcome.UNKNOWN),
        }
        request.state.reply_headers = unknown_headers
        result = await self._context.runner.run(
            self._context.service.run_request(call.ok_value),
            (call.ok_value.deadline_s or 0.0) + _OUTCOME_TIMEOUT_MARGIN_S,
        )
        outcome, reason = Outcome.UNKNOWN, OutcomeReason.NONE
        if isinstance(result, Ok):
            outcome = result.ok_value.reply.outcome
            reason = result.ok_value.reply.reason
        self._context.metrics.request_finished(
            call.ok_value.service, outcome, reason, monotonic() - received_at
        )
        if isinstance(result, Err):
            return error_reply(result.err_value, unknown_headers)
        return _encode_result(result.ok_value)

    async def _read_request(
        self, request: Request, received_at: float
    ) -> Result[RequestCall, HttpError]:
        context = self._context
        name = request.path_params["service"]
        grant = context.authenticator.authorize(
            request, Role.CALLER, service=name
        )
        if isinstance(grant, Err):
            return grant
        spec = find_service_spec(
            context.service, name, ServiceKind.LATENCY_CRITICAL
        )
        if isinstance(spec, Err):
            return spec
        key = parse_idempotency_key(request, not spec.ok_value.idempotent)
        if isinstance(key, Err):
            return key
        limits = context.settings.requests
        deadline_s = parse_deadline(
            request, spec.ok_value.deadline_s, limits.max_deadline_s
        )
        if isinstance(deadline_s, Err):
            return deadline_s
        error = check_content_headers(request, _CONTENT_TYPES)
        if error is not None:
            return Err(error)
        body = await read_body(
            request, spec.ok_value.max_body_bytes, limits.body_timeout_s
        )
        if isinstance(body, Err):
            return body
        remaining_s = deadline_s.ok_value - (monotonic() - received_at)
        if remaining_s <= 0.0:
            return Err(_deadline_passed())
        return Ok(RequestCall(name, key.ok_value, remaining_s, body.ok_value))

    def _refuse(self, error: HttpError, headers: dict[str, str]) -> Response:
        # The counter has no service label: the refused name may not exist, so
        # callers could create any number of label values.
        code = error.code.replace("-", "_")
        self._context.metrics.count(f"requests_refused_{code}")
        return error_reply(error, headers)


def _encode_result(result: RequestResult) -> Response:
    reply = result.reply
    headers = {
        OUTCOME_HEADER: str(reply.outcome),
        REQUEST_ID_HEADER: result.request_id,
    }
    status = reply_status(reply)
    if reply.outcome is Outcome.ANSWERED:
        return Response(
            reply.body, status, headers, "application/octet-stream"
        )
    error = HttpError(
        status, str(reply.reason), reply.detail, retry_headers(status)
    )
    return error_reply(error, headers)


def _deadline_passed() -> HttpError:
    return HttpError(
        504,
        "deadline",
        "the deadline passed before the body had arrived; send the request"
        " again with a later deadline",
    )
