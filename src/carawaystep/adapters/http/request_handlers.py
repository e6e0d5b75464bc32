"""Requests of latency-critical services."""

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
from carawaystep.adapters.http.call_headers import deadline
from carawaystep.adapters.http.call_headers import idempotency_key
from carawaystep.adapters.http.call_headers import OUTCOME_HEADER
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

# The service settles a request at its deadline. This is the time left to it
# before the caller is told "unknown" in any case.
_SETTLE_S = 5.0


class RequestHandlers:
    """The path ``/v1/services/{service}/requests``."""

    def __init__(self, context: HandlerContext) -> None:
        """Create the handlers.

        :param context: collaborators
        """
        self._context = context

    def routes(self) -> list[Route]:
        """Return the routes."""
        path = "/v1/services/{service}/requests"
        return [Route(path, self.post, methods=["POST"])]

    async def post(self, request: Request) -> Response:
        """Run a request."""
        began = monotonic()
        refused = {
            OUTCOME_HEADER: str(Outcome.NOT_RUN),
            REQUEST_ID_HEADER: f"refused-{token_hex(8)}",
        }
        request.state.reply_headers = refused
        call = await self._read(request, began)
        if isinstance(call, Err):
            return self._refuse(call.err_value, refused)
        # From here on an unexpected exception leaves the outcome open.
        in_doubt = {**refused, OUTCOME_HEADER: str(Outcome.UNKNOWN)}
        request.state.reply_headers = in_doubt
        result = await self._context.runner.run(
            self._context.service.run_request(call.ok_value),
            (call.ok_value.deadline_s or 0.0) + _SETTLE_S,
        )
        outcome, reason = Outcome.UNKNOWN, OutcomeReason.NONE
        if isinstance(result, Ok):
            outcome = result.ok_value.reply.outcome
            reason = result.ok_value.reply.reason
        self._context.metrics.request_finished(
            call.ok_value.service, outcome, reason, monotonic() - began
        )
        if isinstance(result, Err):
            return error_reply(result.err_value, in_doubt)
        return _encode(result.ok_value)

    async def _read(
        self, request: Request, began: float
    ) -> Result[RequestCall, HttpError]:
        context = self._context
        name = request.path_params["service"]
        grant = context.authenticator.grant(request, Role.CALLER, service=name)
        if isinstance(grant, Err):
            return grant
        spec = find_service_spec(
            context.service, name, ServiceKind.LATENCY_CRITICAL
        )
        if isinstance(spec, Err):
            return spec
        key = idempotency_key(request, not spec.ok_value.idempotent)
        if isinstance(key, Err):
            return key
        limits = context.settings.requests
        wait_s = deadline(
            request, spec.ok_value.deadline_s, limits.max_deadline_s
        )
        if isinstance(wait_s, Err):
            return wait_s
        refusal = check_content_headers(request, _CONTENT_TYPES)
        if refusal is not None:
            return Err(refusal)
        body = await read_body(
            request, spec.ok_value.max_body_bytes, limits.body_timeout_s
        )
        if isinstance(body, Err):
            return body
        left_s = wait_s.ok_value - (monotonic() - began)
        if left_s <= 0.0:
            return Err(_expired())
        return Ok(RequestCall(name, key.ok_value, left_s, body.ok_value))

    def _refuse(self, refusal: HttpError, headers: dict[str, str]) -> Response:
        # Without a service label, because a refused name may be made up.
        code = refusal.code.replace("-", "_")
        self._context.metrics.count(f"requests_refused_{code}")
        return error_reply(refusal, headers)


def _encode(result: RequestResult) -> Response:
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
    refusal = HttpError(
        status, str(reply.reason), reply.detail, retry_headers(status)
    )
    return error_reply(refusal, headers)


def _expired() -> HttpError:
    return HttpError(
        504,
        "deadline",
        "the deadline passed while the body arrived; send the request again"
        " with a later one",
    )
